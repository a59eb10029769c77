package template_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

var seeds = flag.Int("template.seeds", 20, "number of seeds of the randomised run")

func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	invariant.SetFatal(true)
	os.Exit(m.Run())
}
