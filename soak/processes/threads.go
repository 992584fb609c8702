package processes

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// threadStates returns how many threads of a process are in each state of the kernel, and where
// those wait that do. It tells a process that waits for something of its own from one that is stopped
// (T), that waits in the kernel and can't be killed (D), or that has ended and wasn't waited for (Z).
func threadStates(pid int) string {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return err.Error()
	}
	counts := make(map[string]int)
	for _, dir := range threads {
		if s := threadState(dir); s != "" {
			counts[s]++
		}
	}
	var list []string
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%d %s", counts[s], s))
	}
	return strings.Join(list, ", ")
}

// threadState returns the state of a thread and the place in the kernel where it waits, or nothing
// once it has ended.
func threadState(dir string) string {
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return ""
	}
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:]) // the name before may hold spaces
	if len(fields) == 0 {
		return ""
	}
	place, err := os.ReadFile(filepath.Join(dir, "wchan"))
	if err != nil || len(place) <= 1 {
		return string(fields[0])
	}
	return string(fields[0]) + " " + string(place)
}
