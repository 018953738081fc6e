package faultbuild

import (
	"encoding/binary"
	"os"
	"time"
)

// PageEnvVar names the environment variable with the path of a program's page.
const PageEnvVar = "TERNTRAY_FAULT_PAGE"

const (
	pageBytes    = 4096
	settingBytes = 8 // each is an int64 in the byte order of the machine
)

// Setting is a place in the page. All but WallStep are rates, in calls of a million.
type Setting int

// The settings, in the order in which the patched library reads them.
const (
	WallClockOffset Setting = iota // nanoseconds by which the wall clock is off; the monotonic clock goes on
	AcceptFails                    // ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM
	SocketFails                    // ENFILE, EMFILE, ENOBUFS, ENOMEM
	ConnectFails                   // EADDRNOTAVAIL, ENETUNREACH, ENOBUFS
	Interrupted                    // reads and writes end with EINTR
	ShortReads
	ShortWrites
)

// Always is the rate at which each call fails.
const Always = 1_000_000

// Page tells one process, or several that share it, what is to fail from now on.
type Page struct {
	file *os.File
}

// NewPage makes one in a file, with nothing that fails.
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

// EnvVar is the environment's entry that hands the page to a process.
func (page *Page) EnvVar() string { return PageEnvVar + "=" + page.file.Name() }

// Set changes a setting at once.
func (page *Page) Set(setting Setting, value int64) error {
	_, err := page.file.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(value)), int64(setting)*settingBytes)
	return err
}

// SetWallClockOffset sets the wall clock off by a span.
func (page *Page) SetWallClockOffset(by time.Duration) error {
	return page.Set(WallClockOffset, int64(by))
}

// Close lets go of the page; processes that have it keep what it says.
func (page *Page) Close() error { return page.file.Close() }
