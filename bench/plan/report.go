package plan

import (
	"fmt"
	"strings"

	"github.com/olekukonko/tablewriter"
)

// Point holds the figures measured with one number of members. Figures are per
// member, except those of the table and of propagation times.
type Point struct {
	Members int `json:"members"`

	SentBytesPerSecond     float64 `json:"sent_bytes_per_s"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_per_s"`
	// MessagesPerSecond counts sent messages.
	MessagesPerSecond float64 `json:"messages_per_s"`
	CorePercent       float64 `json:"core_percent"`
	// MemoryMB is the memory of heap and stacks in use.
	MemoryMB      float64 `json:"memory_mb"`
	MaxNeighbours float64 `json:"max_neighbours"`

	// The load on the table is that of all members together. A scan is one
	// read of many rows.
	TableReads  float64 `json:"table_reads_per_s"`
	TableWrites float64 `json:"table_writes_per_s"`
	TableRows   float64 `json:"table_rows_per_s"`

	// Times until the last member has received the notice or applied the
	// template.
	NoticeSeconds        float64 `json:"notice_s"`
	TemplateSeconds      float64 `json:"template_s"`
	DomainNoticesSeconds float64 `json:"domain_notices_s"`
	// DomainNoticesCoreMS is the processor time that one member used for
	// the notices of a failure domain.
	DomainNoticesCoreMS float64 `json:"domain_notices_core_ms"`
	// DomainNoticesKB is the traffic that one member sent meanwhile.
	DomainNoticesKB float64 `json:"domain_notices_kb"`

	// Peaks of the load on the table are the highest load within one
	// second.
	BootSeconds    float64 `json:"boot_s"`
	BootPeakReads  float64 `json:"boot_peak_reads"`
	BootPeakWrites float64 `json:"boot_peak_writes"`
	BootPeakRows   float64 `json:"boot_peak_rows"`

	Restarted         float64 `json:"restarted"`
	RestartSeconds    float64 `json:"restart_s"`
	RestartKB         float64 `json:"restart_kb"`
	RestartPeakReads  float64 `json:"restart_peak_reads"`
	RestartPeakWrites float64 `json:"restart_peak_writes"`
	RestartPeakRows   float64 `json:"restart_peak_rows"`

	// OutageLostMembers is the largest number of members that were missing
	// from the registry of any one member. The recovery figures are the
	// peaks of the load on the table after the outage.
	OutageLostMembers  float64 `json:"outage_lost_members"`
	RecoveryPeakReads  float64 `json:"storm_peak_reads"`
	RecoveryPeakWrites float64 `json:"storm_peak_writes"`
	RecoveryPeakRows   float64 `json:"storm_peak_rows"`
}

// Fit is the least-squares line through the values of one figure.
type Fit struct {
	Figure    string  `json:"figure"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// AtPlan is the figure at the planned size: the measured value if a
	// point has that many members, and otherwise the value on the line.
	AtPlan   float64 `json:"at_plan"`
	Measured bool    `json:"measured"`
	// Budget is 0 if the figure has none.
	Budget float64 `json:"budget,omitempty"`
	Within bool    `json:"within"`
}

// Report is the result of a run.
type Report struct {
	Replicas int     `json:"replicas"`
	Seconds  int     `json:"seconds"`
	Seed     uint64  `json:"seed"`
	Points   []Point `json:"points"`
	Fits     []Fit   `json:"fits"`
}

// figure is a row of the table that Report.Table prints.
type figure struct {
	name   string
	value  func(p Point) float64
	budget float64
}

var figures = []figure{
	{"sent bytes/s", func(p Point) float64 { return p.SentBytesPerSecond }, 0},
	{"sent + received bytes/s", func(p Point) float64 { return p.SentBytesPerSecond + p.ReceivedBytesPerSecond }, budgetBytesPerSecond},
	{"sent messages/s", func(p Point) float64 { return p.MessagesPerSecond }, 0},
	{"processor, % of a core", func(p Point) float64 { return p.CorePercent }, budgetCorePercent},
	{"memory, MB", func(p Point) float64 { return p.MemoryMB }, budgetMemoryMB},
	{"most neighbours", func(p Point) float64 { return p.MaxNeighbours }, 0},
	{"fleet: table reads/s", func(p Point) float64 { return p.TableReads }, budgetReadsPerSecond},
	{"fleet: table rows read/s", func(p Point) float64 { return p.TableRows }, budgetReadsPerSecond},
	{"fleet: table writes/s", func(p Point) float64 { return p.TableWrites }, budgetWritesPerSecond},
	{"notice everywhere, s", func(p Point) float64 { return p.NoticeSeconds }, budgetNoticeSeconds},
	{"template everywhere, s", func(p Point) float64 { return p.TemplateSeconds }, budgetTemplateSeconds},
	{"notices of a domain everywhere, s", func(p Point) float64 { return p.DomainNoticesSeconds }, budgetNoticeSeconds},
	{"notices of a domain, ms of a core", func(p Point) float64 { return p.DomainNoticesCoreMS }, 0},
	{"notices of a domain, KB sent", func(p Point) float64 { return p.DomainNoticesKB }, 0},
	{"boot, s", func(p Point) float64 { return p.BootSeconds }, 0},
	{"boot: peak reads/s", func(p Point) float64 { return p.BootPeakReads }, budgetReadsPerSecond},
	{"boot: peak rows read/s", func(p Point) float64 { return p.BootPeakRows }, 0},
	{"boot: peak writes/s", func(p Point) float64 { return p.BootPeakWrites }, 0},
	{"domain restart, s", func(p Point) float64 { return p.RestartSeconds }, 0},
	{"domain restart, KB sent", func(p Point) float64 { return p.RestartKB }, 0},
	{"domain restart: peak reads/s", func(p Point) float64 { return p.RestartPeakReads }, budgetReadsPerSecond},
	{"domain restart: peak rows read/s", func(p Point) float64 { return p.RestartPeakRows }, 0},
	{"domain restart: peak writes/s", func(p Point) float64 { return p.RestartPeakWrites }, budgetWritesPerSecond},
	{"outage: members lost from view", func(p Point) float64 { return p.OutageLostMembers }, 0},
	{"after outage: peak reads/s", func(p Point) float64 { return p.RecoveryPeakReads }, budgetReadsPerSecond},
	{"after outage: peak rows read/s", func(p Point) float64 { return p.RecoveryPeakRows }, budgetReadsPerSecond},
	{"after outage: peak writes/s", func(p Point) float64 { return p.RecoveryPeakWrites }, budgetWritesPerSecond},
}

// fit fits a line to the points of each figure.
func (r *Report) fit() {
	for _, fig := range figures {
		fit := Fit{Figure: fig.name, Budget: fig.budget}
		fit.Slope, fit.Intercept = leastSquares(r.Points, fig.value)
		fit.AtPlan = fit.Intercept + fit.Slope*PlannedMembers
		for _, p := range r.Points {
			if p.Members == PlannedMembers {
				fit.AtPlan, fit.Measured = fig.value(p), true
			}
		}
		fit.Within = fit.Budget == 0 || fit.AtPlan <= fit.Budget
		r.Fits = append(r.Fits, fit)
	}
}

// leastSquares returns the slope and intercept of the line through the points.
// If all points have the same number of members, the slope is 0.
func leastSquares(points []Point, value func(Point) float64) (slope, intercept float64) {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := float64(p.Members), value(p)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	if d := n*sumXX - sumX*sumX; d > 0 {
		slope = (n*sumXY - sumX*sumY) / d
	}
	return slope, (sumY - slope*sumX) / n
}

// Table returns the report as text.
func (r Report) Table() string {
	var out strings.Builder
	table := tablewriter.NewWriter(&out)
	header := []string{"figure"}
	for _, p := range r.Points {
		header = append(header, fmt.Sprint(p.Members))
	}
	header = append(header, "slope", "intercept", fmt.Sprintf("at %d", PlannedMembers), "budget", "")
	table.Header(header)
	for i, fig := range figures {
		_ = table.Append(r.row(fig, r.Fits[i]))
	}
	_ = table.Render()
	return out.String()
}

func (r Report) row(fig figure, fit Fit) []string {
	row := []string{fig.name}
	for _, p := range r.Points {
		row = append(row, number(fig.value(p)))
	}
	at := number(fit.AtPlan)
	if !fit.Measured {
		at += " (line)"
	}
	budget, verdict := "", ""
	if fit.Budget > 0 {
		budget, verdict = number(fit.Budget), "within"
		if !fit.Within {
			verdict = "EXCEEDED"
		}
	}
	return append(row, number(fit.Slope), number(fit.Intercept), at, budget, verdict)
}

func number(v float64) string { return fmt.Sprintf("%.4g", v) }
