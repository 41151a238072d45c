package bench

import (
	"errors"
	"os"
	"strconv"
	"strings"
)

// Positions of the fields of /proc/PID/stat after the command, which ends with ")".
const (
	statUser     = 11
	statSystem   = 12
	statResident = 21
)

var errStat = errors.New("bench: /proc stat line is not understood")

// parseStat reads a line of /proc/PID/stat.
func parseStat(line string) (usage, error) {
	_, rest, ok := strings.Cut(line[max(0, strings.LastIndexByte(line, ')')):], ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= statResident {
		return usage{}, errStat
	}
	var values [3]int64
	for i, position := range []int{statUser, statSystem, statResident} {
		value, err := strconv.ParseInt(fields[position], 10, 64)
		if err != nil {
			return usage{}, errStat
		}
		values[i] = value
	}
	return usage{
		cpuSeconds:  float64(values[0]+values[1]) / ticksPerSecond,
		residentKiB: values[2] * int64(os.Getpagesize()) / 1024,
	}, nil
}
