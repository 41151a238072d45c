package bench

import (
	"errors"
	"os"
	"strconv"
	"strings"
)

// Positions of the fields of /proc/PID/stat after the command, which ends with ")".
const (
	statUserTime      = 11
	statSystemTime    = 12
	statResidentPages = 21
)

var errMalformedStat = errors.New("bench: malformed line of /proc/PID/stat")

// parseStat parses a line of /proc/PID/stat.
func parseStat(line string) (processUsage, error) {
	_, rest, ok := strings.Cut(line[max(0, strings.LastIndexByte(line, ')')):], ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statResidentPages {
		return processUsage{}, errMalformedStat
	}
	var values [3]int64
	for i, position := range []int{statUserTime, statSystemTime, statResidentPages} {
		value, err := strconv.ParseInt(fields[position], 10, 64)
		if err != nil {
			return processUsage{}, errMalformedStat
		}
		values[i] = value
	}
	return processUsage{
		cpuSeconds:  float64(values[0]+values[1]) / ticksPerSecond,
		residentKiB: values[2] * int64(os.Getpagesize()) / 1024,
	}, nil
}
