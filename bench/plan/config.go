package plan

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// The planned size of the fleet.
const (
	PlannedMembers  = 410
	PlannedReplicas = 2900
	plannedDomains  = 12
	plannedRegions  = 5
	// templateChangesPerDay is the planned rate of template changes.
	templateChangesPerDay = 5000
)

// Budgets at the planned size: the control traffic of one member, the load on
// the table, and the time a notice or a template takes to reach all members.
const (
	budgetCorePercent    = 1.8
	budgetMemoryMB       = 128
	budgetBytesPerSecond = 7000
	budgetReadsPerSecond = 2000
	// budgetWritesPerSecond is the lower end of the "several hundred"
	// writes per second that the platform allows.
	budgetWritesPerSecond = 300
	budgetNoticeSeconds   = 2
	budgetTemplateSeconds = 4
)

// Config describes a run.
type Config struct {
	// Members lists the numbers of entries to measure with.
	Members []int
	// Replicas is the number of endpoint hosts. Each failure domain holds a
	// twelfth of them.
	Replicas int
	// Seconds is the length of the measured period without faults.
	Seconds int
	Seed    uint64
	// Listen and Dial return the network of a member by its index. If
	// either is nil, members use TCP on the loopback interface.
	Listen func(index int) (net.Listener, error)
	Dial   func(index int) DialFunc
	// Log receives a line for each step. If nil, nothing is logged.
	Log *logrus.Entry
}

// DialFunc opens a connection to an "ip:port".
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func listenLoopback(int) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func dialTCP(int) DialFunc { return (&net.Dialer{}).DialContext }

// Durations and repetitions of the steps of a run.
const (
	bootTimeout        = 3 * time.Minute
	settlePeriod       = 8 * time.Second
	propagationTimeout = 30 * time.Second
	restartTimeout     = time.Minute
	outagePeriod       = 15 * time.Second
	recoveryPeriod     = 10 * time.Second
	probePeriod        = 5 * time.Millisecond
	publishPeriod      = time.Second
	// propagationRuns is the number of times that the propagation of a
	// notice or a template is measured. The slowest run is reported.
	propagationRuns = 5
)
