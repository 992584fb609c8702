// Command standin plays the scripted cases of the review: it starts the project's entries and
// stand-ins of clients, workers and the platform's store, and checks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	program := flag.String("program", "target/ebonypulley", "the program `FILE` to run as entry")
	recordFile := flag.String("record", "record.txt", "the `FILE` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring the disruption about")
	flag.Parse()
	cases := map[string]func(program string, rec *record, trouble bool) int{
		"overload": overload,
		"oversize": oversize,
		"slashes":  slashes,
		"badparts": badParts,
	}
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Println("unknown case:", flag.Arg(0))
		os.Exit(2)
	}
	rec, err := newRecord(*recordFile)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	code := play(*program, rec, *trouble)
	rec.close()
	os.Exit(code)
}
