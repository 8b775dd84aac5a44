package deployment

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Usage is what a daemon's process has used since its start.
type Usage struct {
	Processor time.Duration
	// Resident is its memory now, in bytes.
	Resident int64
	// Read and Written are the bytes that passed through its descriptors.
	Read    int64
	Written int64
}

// UsageError reports accounts of a process that cannot be read.
type UsageError struct {
	File   string
	Reason string
}

func (e *UsageError) Error() string { return "usage of a process: " + e.File + ": " + e.Reason }

const (
	// clockTick is the unit of the kernel's accounts of processor time.
	clockTick = 10 * time.Millisecond
	// processorField and residentField are the places of user time and resident pages behind the name in a stat file.
	processorField = 11
	residentField  = 21
)

// Usage returns what the host's daemon has used.
func (h *Host) Usage() (Usage, error) {
	stat, err := processFile(h.PID(), "stat")
	if err != nil {
		return Usage{}, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= residentField {
		return Usage{}, &UsageError{File: "stat", Reason: "has too few fields"}
	}
	var numbers [3]int64
	for i, place := range []int{processorField, processorField + 1, residentField} {
		if numbers[i], err = strconv.ParseInt(fields[place], 10, 64); err != nil {
			return Usage{}, &UsageError{File: "stat", Reason: err.Error()}
		}
	}
	used := Usage{
		Processor: time.Duration(numbers[0]+numbers[1]) * clockTick,
		Resident:  numbers[2] * int64(os.Getpagesize()),
	}
	io, err := processFile(h.PID(), "io")
	if err != nil {
		return Usage{}, err
	}
	if _, err := fmt.Sscanf(string(io), "rchar: %d\nwchar: %d", &used.Read, &used.Written); err != nil {
		return Usage{}, &UsageError{File: "io", Reason: err.Error()}
	}
	return used, nil
}

func processFile(pid int, name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), name))
	if err != nil {
		return nil, &UsageError{File: name, Reason: err.Error()}
	}
	return data, nil
}
