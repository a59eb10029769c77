package main

import (
	"fmt"
	"os"
)

// host is the host of all routes.
const host = "shop.example"

// cases are the cases by their number.
var cases = map[string]func() int{"6": case6, "7": case7, "8": case8}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "stream" {
		os.Exit(stream(os.Args[2]))
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standins-2 CASE")
		os.Exit(CannotRun)
	}
	os.Exit(cases[os.Args[1]]())
}

func fail(err error) int {
	fmt.Println(err)
	return CannotRun
}
