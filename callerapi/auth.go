package callerapi

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	keyCustomer = "customer"
	keyTemplate = "template"
)

// authenticate finds the customer of the bearer key, and fixes the template
// version that the request keeps to its end.
func (s *Server) authenticate(c *gin.Context) {
	index := s.deps.Templates.Index()
	if index == nil {
		s.fail(c, errNotReady)
		return
	}
	key, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !ok {
		s.fail(c, errNoAuth)
		return
	}
	customer, ok := customerOf(index, key)
	if !ok {
		s.fail(c, errNoAuth)
		return
	}
	c.Set(keyTemplate, index)
	c.Set(keyCustomer, customer)
	c.Next()
}

// customerOf looks the key up by its hash, so that the time of the look-up
// tells nothing about the key.
func customerOf(index *template.Index, key string) (template.Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	return index.CustomerByKey(hex.EncodeToString(sum[:]))
}

func customerIn(c *gin.Context) template.Customer {
	return c.MustGet(keyCustomer).(template.Customer)
}

func templateIn(c *gin.Context) *template.Index {
	return c.MustGet(keyTemplate).(*template.Index)
}
