// Package workload describes the load of a deployment: which requests arrive
// when. It is a pure function of a mix and a seed.
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

// Class is a class of requests of a mix.
type Class struct {
	// Kind names the request kind of the template.
	Kind string
	// PerSecond is the mean rate of arrivals.
	PerSecond float64
	// Urgent requests are reported apart.
	Urgent bool
	// Chat describes chat requests, Call calls of a plain service; one is
	// set.
	Chat *Chat
	Call *Call
}

// Chat describes the prompts of a class. Lengths are in tokens.
type Chat struct {
	Model string
	// Documents is the number of long texts that requests share, each of
	// DocumentTokens; they are drawn with a Zipf distribution. 0 means none.
	Documents      int
	DocumentTokens int
	// OwnTokens is the length of the part that only this request has.
	OwnTokens int
	MaxTokens int
	// Durable requests are sent with an idempotency key.
	Durable bool
}

// Call describes the calls of a class.
type Call struct {
	Service string
	Method  string
	Path    string
	// Once calls carry an idempotency key.
	Once bool
}

// Customer is a customer's part of the load.
type Customer struct {
	Name string
	Key  string
	// Share is the customer's weight in the arrivals.
	Share float64
}

// Mix is the load of a deployment.
type Mix struct {
	Customers []Customer
	Classes   []Class
}

// Request is one request of a caller.
type Request struct {
	// Number is unique in a run.
	Number   int
	At       time.Duration
	Customer Customer
	Class    Class
	// Messages is the prompt of a chat request.
	Messages []endpoint.Message
	// Key is the idempotency key; empty for none.
	Key string
	// Body is that of a service call.
	Body string
}

// ServiceKey is the key under which a service counts the request's executions.
func (r Request) ServiceKey() string { return endpoint.ScopedKey(r.Customer.Name, r.Key) }

// Arrivals returns the requests of a run in order of their arrival. Arrivals
// are a Poisson process whose rates are scaled by load.
func Arrivals(m Mix, seed uint64, duration time.Duration, load float64) []Request {
	rng := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	var out []Request
	for _, class := range m.Classes {
		out = append(out, arrivalsOf(m, class, rng, duration, load)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	for i := range out {
		out[i].Number = i
		finish(&out[i], seed)
	}
	return out
}

func arrivalsOf(m Mix, class Class, rng *rand.Rand, duration time.Duration, load float64) []Request {
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
			r.Messages = prompt(class, r.Customer, rng)
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

// prompt draws a prompt: a shared document of the customer, then the
// request's own words.
func prompt(class Class, customer Customer, rng *rand.Rand) []endpoint.Message {
	var messages []endpoint.Message
	chat := class.Chat
	if chat.Documents > 0 {
		n := zipf(rng, chat.Documents)
		text := words(fmt.Sprintf("%s/%s/%d", customer.Name, class.Kind, n), chat.DocumentTokens)
		messages = append(messages, endpoint.Message{Role: "system", Content: text})
	}
	own := words(fmt.Sprintf("own/%d", rng.Uint64()), chat.OwnTokens)
	return append(messages, endpoint.Message{Role: "user", Content: own})
}

// zipf draws a number below n with weights 1/(i+1).
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

// words returns n words that follow from a name.
func words(name string, n int) string {
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

func finish(r *Request, seed uint64) {
	key := fmt.Sprintf("key-%d-%d", seed, r.Number)
	switch {
	case r.Class.Call != nil:
		r.Body = fmt.Sprintf(`{"number":%d,"customer":%q}`, r.Number, r.Customer.Name)
		if r.Class.Call.Once {
			r.Key = key
		}
	case r.Class.Chat.Durable:
		r.Key = key
	}
}
