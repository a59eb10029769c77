package callerapi

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Keys of the values that authenticate stores in the context of a request.
const (
	keyCustomer = "customer"
	keyTemplate = "template"
)

// authenticate finds the customer of the API key in the Authorization header.
// It stores the customer and the current template index in the context, so
// that the request uses one template version until it ends.
func (s *Server) authenticate(c *gin.Context) {
	index := s.deps.Templates.Index()
	if index == nil {
		s.fail(c, errNotReady)
		return
	}
	key, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !ok {
		s.fail(c, errUnauthorized)
		return
	}
	customer, ok := customerByKey(index, key)
	if !ok {
		s.fail(c, errUnauthorized)
		return
	}
	c.Set(keyTemplate, index)
	c.Set(keyCustomer, customer)
	c.Next()
}

// customerByKey returns the customer of an API key. It looks up the hash of the
// key, so that the duration of the lookup reveals nothing about the key.
func customerByKey(index *template.Index, key string) (template.Customer, bool) {
	sum := sha256.Sum256([]byte(key))
	return index.CustomerByKey(hex.EncodeToString(sum[:]))
}

func requestCustomer(c *gin.Context) template.Customer {
	return c.MustGet(keyCustomer).(template.Customer)
}

func requestTemplate(c *gin.Context) *template.Index {
	return c.MustGet(keyTemplate).(*template.Index)
}
