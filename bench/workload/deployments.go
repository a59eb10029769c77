package workload

import (
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/deployments"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// developmentKeyPrefix is the prefix of the customers' API keys in the shipped
// deployments. The rest of a key is the customer's name.
const developmentKeyPrefix = "dev-"

// ForTemplate returns the mix of a shipped deployment at its current size, with
// the customers of its template.
func ForTemplate(t *template.Template) (Mix, error) {
	var m Mix
	switch t.Name {
	case deployments.KarooWick:
		m.Classes = karooWick()
	case deployments.AgenciaNordestina:
		m.Classes = agenciaNordestina()
	default:
		return m, fmt.Errorf("no mix for deployment %q", t.Name)
	}
	for _, c := range t.Customers {
		m.Customers = append(m.Customers, Customer{Name: c.Name, Key: developmentKeyPrefix + c.Name, Share: c.Share})
	}
	return m, nil
}

func karooWick() []Class {
	return []Class{
		{Kind: "dealer-question", PerSecond: 12, Urgent: true, Chat: &Chat{
			Model: "karoo-lm", Documents: 2, DocumentTokens: 500, UniqueTokens: 40, MaxTokens: 100,
		}},
		{Kind: "restock-plan", PerSecond: 3, Chat: &Chat{
			Model: "karoo-lm", Documents: 4, DocumentTokens: 1200, UniqueTokens: 200, MaxTokens: 800, Durable: true,
		}},
		{Kind: "refill-order", PerSecond: 6, Call: &Call{Service: "order-and-stock", Method: "POST", Path: "/orders", AtMostOnce: true}},
		{Kind: "stock-query", PerSecond: 6, Call: &Call{Service: "order-and-stock", Method: "GET", Path: "/stock/wax"}},
	}
}

func agenciaNordestina() []Class {
	return []Class{
		{Kind: "attendant-question", PerSecond: 10, Urgent: true, Chat: &Chat{
			Model: "triage", Documents: 2, DocumentTokens: 300, UniqueTokens: 40, MaxTokens: 80,
		}},
		{Kind: "report-summary", PerSecond: 5, Chat: &Chat{
			Model: "triage", Documents: 6, DocumentTokens: 3000, UniqueTokens: 30, MaxTokens: 300, Durable: true,
		}},
		{Kind: "reservation", PerSecond: 5, Call: &Call{Service: "market", Method: "POST", Path: "/reservations", AtMostOnce: true}},
		{Kind: "pickup", PerSecond: 2, Call: &Call{Service: "market", Method: "POST", Path: "/pickups", AtMostOnce: true}},
		{Kind: "lot-query", PerSecond: 5, Call: &Call{Service: "market", Method: "GET", Path: "/lots/today"}},
	}
}
