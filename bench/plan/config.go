package plan

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// The planned size.
const (
	PlannedMembers  = 410
	PlannedReplicas = 2900
	plannedDomains  = 12
	plannedRegions  = 5
	// changesPerDay is the rate of template changes.
	changesPerDay = 5000
)

// Budgets of the planned size: of one node for control, and of the platform.
const (
	budgetCorePercent    = 1.8
	budgetMemoryMB       = 128
	budgetBytesPerSecond = 7000
	budgetReadsPerSecond = 2000
	// budgetWritesPerSecond is the lower end of "several hundred".
	budgetWritesPerSecond = 300
	budgetNoticeSeconds   = 2
	budgetTemplateSeconds = 4
)

// Config sets up a run.
type Config struct {
	// Members are the numbers of entries to measure with.
	Members []int
	// Replicas is the number of endpoint hosts; a failure domain holds a
	// twelfth of them.
	Replicas int
	// Seconds is the length of the calm period that is measured.
	Seconds int
	Seed    uint64
	// Listen and Dial give each member its network, by its index; nil for TCP
	// on the loopback interface.
	Listen func(index int) (net.Listener, error)
	Dial   func(index int) DialFunc
	// Log gets a line for each step; nil for none.
	Log *logrus.Entry
}

// DialFunc opens a connection to an "ip:port".
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func listenLoopback(int) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func dialTCP(int) DialFunc { return (&net.Dialer{}).DialContext }

// Durations of the steps of a run.
const (
	bootTimeout    = 3 * time.Minute
	settlePeriod   = 8 * time.Second
	spreadTimeout  = 30 * time.Second
	restartTimeout = time.Minute
	outagePeriod   = 15 * time.Second
	stormPeriod    = 10 * time.Second
	probePeriod    = 5 * time.Millisecond
	publishPeriod  = time.Second
	// spreads is how often each spread is repeated; the slowest counts.
	spreads = 5
)
