// Package workload generates the load of a deployment: which requests arrive at
// which time. The load is a pure function of a mix, a seed, a duration and a
// factor on the arrival rates. Package caller sends it; the benchmarks and the
// randomised tests use both.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// Class describes one class of the requests of a mix.
type Class struct {
	// Kind is the name of the request kind in the template.
	Kind string
	// PerSecond is the mean arrival rate.
	PerSecond float64
	// Urgent is set for classes whose latencies are also reported
	// separately.
	Urgent bool
	// Chat describes chat requests, and Call calls of a plain service.
	// Exactly one is set.
	Chat *Chat
	Call *Call
}

// Chat describes the prompts of a class. Lengths are in tokens.
type Chat struct {
	Model string
	// Documents is the number of long texts that requests of a customer
	// share, each with a length of DocumentTokens. They are drawn with a
	// Zipf distribution. 0 means none.
	Documents      int
	DocumentTokens int
	// UniqueTokens is the length of the prompt part that only this request
	// has.
	UniqueTokens int
	MaxTokens    int
	// Durable is set for durable requests, which have an idempotency key.
	Durable bool
}

// Call describes the calls of a class to a plain service.
type Call struct {
	Service string
	Method  string
	Path    string
	// AtMostOnce is set for calls that must not run twice. They have an
	// idempotency key.
	AtMostOnce bool
}

// Customer describes the load of one customer.
type Customer struct {
	Name string
	Key  string
	// Share is the weight of the customer in the arrivals.
	Share float64
}

// Mix describes the load of a deployment.
type Mix struct {
	Customers []Customer
	Classes   []Class
}

// Request is one request of a client.
type Request struct {
	// Number is unique within a run.
	Number   int
	At       time.Duration
	Customer Customer
	Class    Class
	// Messages is the prompt of a chat request.
	Messages []endpoint.Message
	// Key is the idempotency key, or empty if the request has none.
	Key string
	// Body is the body of a service call.
	Body string
}

// ServiceKey returns the key under which a service counts the executions of the
// request.
func (r Request) ServiceKey() string { return endpoint.ScopedKey(r.Customer.Name, r.Key) }

// Arrivals returns the requests of a run in the order of their arrival.
// Arrivals are a Poisson process whose rates are multiplied by load.
func Arrivals(m Mix, seed uint64, duration time.Duration, load float64) []Request {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	var out []Request
	for _, class := range m.Classes {
		out = append(out, classArrivals(m, class, rng, duration, load)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].Number = i
		setKeyAndBody(&out[i], seed)
	}
	return out
}

func classArrivals(m Mix, class Class, rng *rand.Rand, duration time.Duration, load float64) []Request {
	rate := class.PerSecond * load
	if rate <= 0 {
		return nil
	}
	var out []Request
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return out
		}
		r := Request{At: at, Customer: drawCustomer(m.Customers, rng), Class: class}
		if class.Chat != nil {
			r.Messages = drawPrompt(class, r.Customer, rng)
		}
		out = append(out, r)
	}
}

func drawCustomer(customers []Customer, rng *rand.Rand) Customer {
	total := 0.0
	for _, c := range customers {
		total += c.Share
	}
	x := rng.Float64() * total
	for _, c := range customers {
		if x < c.Share {
			return c
		}
		x -= c.Share
	}
	return customers[len(customers)-1]
}

// drawPrompt draws a prompt: a document that the customer's requests share, if
// the class has documents, and then text that is unique to the request.
func drawPrompt(class Class, customer Customer, rng *rand.Rand) []endpoint.Message {
	var messages []endpoint.Message
	chat := class.Chat
	if chat.Documents > 0 {
		n := zipf(rng, chat.Documents)
		text := randomWords(fmt.Sprintf("%s/%s/%d", customer.Name, class.Kind, n), chat.DocumentTokens)
		messages = append(messages, endpoint.Message{Role: "system", Content: text})
	}
	uniqueText := randomWords(fmt.Sprintf("own/%d", rng.Uint64()), chat.UniqueTokens)
	return append(messages, endpoint.Message{Role: "user", Content: uniqueText})
}

// zipf draws a number i in [0, n) with a weight of 1/(i+1).
func zipf(rng *rand.Rand, n int) int {
	total := 0.0
	for i := range n {
		total += 1 / float64(i+1)
	}
	x := rng.Float64() * total
	for i := range n {
		x -= 1 / float64(i+1)
		if x < 0 {
			return i
		}
	}
	return n - 1
}

// randomWords returns n random words. The same name always gives the same
// words.
func randomWords(name string, n int) string {
	seed := uint64(14695981039346656037)
	for _, c := range []byte(name) {
		seed = (seed ^ uint64(c)) * 1099511628211
	}
	rng := rand.New(rand.NewPCG(seed, seed))
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "w%x", rng.Uint32()&math.MaxUint16)
	}
	return b.String()
}

func setKeyAndBody(r *Request, seed uint64) {
	key := fmt.Sprintf("key-%d-%d", seed, r.Number)
	switch {
	case r.Class.Call != nil:
		r.Body = fmt.Sprintf(`{"number":%d,"customer":%q}`, r.Number, r.Customer.Name)
		if r.Class.Call.AtMostOnce {
			r.Key = key
		}
	case r.Class.Chat.Durable:
		r.Key = key
	}
}
