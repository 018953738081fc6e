package faultbuild

import (
	"encoding/binary"
	"os"
	"time"
)

// PageEnvVar is the name of the environment variable with the path of a program's page.
const PageEnvVar = "TERNTRAY_FAULT_PAGE"

const (
	pageBytes    = 4096
	settingBytes = 8 // a setting is an int64 in native byte order
)

// Setting is the index of a value in the page. All but WallClockOffset are rates: failures per million calls.
type Setting int

// The settings. The patched library uses their values as indexes, so their order is fixed.
const (
	WallClockOffset Setting = iota // nanoseconds added to the wall clock; the monotonic clock is unchanged
	AcceptFails                    // ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM
	SocketFails                    // ENFILE, EMFILE, ENOBUFS, ENOMEM
	ConnectFails                   // EADDRNOTAVAIL, ENETUNREACH, ENOBUFS
	Interrupted                    // reads and writes return EINTR
	ShortReads
	ShortWrites
)

// Always is the rate at which every call fails.
const Always = 1_000_000

// Page controls which faults occur in the process, or processes, that it is shared with.
type Page struct {
	file *os.File
}

// NewPage creates a page in a file, with all faults off.
func NewPage(path string) (*Page, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(pageBytes); err != nil {
		file.Close()
		return nil, err
	}
	return &Page{file}, nil
}

// EnvVar returns the environment entry, NAME=PATH, that gives a process access to the page.
func (page *Page) EnvVar() string { return PageEnvVar + "=" + page.file.Name() }

// Set changes a setting, with immediate effect in the processes that have the page.
func (page *Page) Set(setting Setting, value int64) error {
	_, err := page.file.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(value)), int64(setting)*settingBytes)
	return err
}

// SetWallClockOffset makes the wall clock differ from the system's by the given time.
func (page *Page) SetWallClockOffset(by time.Duration) error {
	return page.Set(WallClockOffset, int64(by))
}

// Close closes the file; the settings stay in force in processes that have the page.
func (page *Page) Close() error { return page.file.Close() }
