package faultbuild

// libraryPatches patch the places in the standard library where the program makes the system calls that can fail, or
// reads the wall clock. File names are relative to the root of the standard library.
var libraryPatches = []Patch{
	{
		File: "time/time.go",
		Old:  "sec, nsec, mono := runtimeNow()\n\tif mono == 0 {",
		New:  "sec, nsec, mono := offsetNow()\n\tif mono == 0 {",
	},
	{
		File: "internal/poll/hook_unix.go",
		Old:  "= syscall.Accept\n",
		New:  "= syscall.FaultyAccept\n",
	},
	{
		File: "internal/poll/hook_cloexec.go",
		Old:  "= syscall.Accept4\n",
		New:  "= syscall.FaultyAccept4\n",
	},
	{
		File: "internal/poll/fd_unix.go",
		Old:  "n, err := ignoringEINTRIO(syscall.Read, fd.Sysfd, p)",
		New:  "n, err := ignoringEINTRIO(syscall.FaultyRead, fd.Sysfd, p)",
	},
	{
		File: "internal/poll/fd_unix.go",
		Old:  "n, err := ignoringEINTRIO(syscall.Write, fd.Sysfd, p[nn:max])",
		New:  "n, err := ignoringEINTRIO(syscall.FaultyWrite, fd.Sysfd, p[nn:max])",
	},
	{
		File: "net/hook_unix.go",
		Old:  "= syscall.Socket\n",
		New:  "= syscall.FaultySocket\n",
	},
	{
		File: "net/hook_unix.go",
		Old:  "= syscall.Connect\n",
		New:  "= syscall.FaultyConnect\n",
	},
}

// libraryAdditions are files that the build adds to the standard library, by path relative to its root. The indexes
// that they read are the values of Setting.
var libraryAdditions = map[string]string{
	"time/zz_stepped.go": `package time

import "syscall"

func offsetNow() (sec int64, nsec int32, mono int64) {
	sec, nsec, mono = runtimeNow()
	offset := syscall.FaultWallClockOffset()
	if offset == 0 {
		return sec, nsec, mono
	}
	wall := sec*1e9 + int64(nsec) + offset
	return wall / 1e9, int32(wall % 1e9), mono
}
`,
	"syscall/zz_faulty.go": `package syscall

import (
	"sync/atomic"
	"unsafe"
)

const faultPageBytes = 4096

var (
	faultPage        *[faultPageBytes / 8]int64
	faultRandomState atomic.Uint64
)

func init() {
	path, isSet := Getenv("` + PageEnvVar + `")
	if !isSet {
		return
	}
	fd, err := Open(path, O_RDONLY|O_CLOEXEC, 0)
	if err != nil {
		panic("fault page: " + err.Error())
	}
	page, err := Mmap(fd, 0, faultPageBytes, PROT_READ, MAP_SHARED)
	if err != nil {
		panic("fault page: " + err.Error())
	}
	faultPage = (*[faultPageBytes / 8]int64)(unsafe.Pointer(&page[0]))
	faultRandomState.Store(uint64(Getpid()) * 0x9e3779b97f4a7c15)
}

func faultSetting(index int) int64 {
	if faultPage == nil {
		return 0
	}
	return atomic.LoadInt64(&faultPage[index])
}

func faultRandom() uint64 {
	x := faultRandomState.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func faultOccurs(index int) bool {
	rate := faultSetting(index)
	return rate > 0 && int64(faultRandom()%1e6) < rate
}

func randomErrno(errnos ...Errno) error { return errnos[faultRandom()%uint64(len(errnos))] }

func FaultWallClockOffset() int64 { return faultSetting(0) }

func FaultyAccept(fd int) (int, Sockaddr, error) {
	if faultOccurs(1) {
		return -1, nil, randomErrno(ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM)
	}
	return Accept(fd)
}

func FaultyAccept4(fd, flags int) (int, Sockaddr, error) {
	if faultOccurs(1) {
		return -1, nil, randomErrno(ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM)
	}
	return Accept4(fd, flags)
}

func FaultySocket(family, kind, protocol int) (int, error) {
	if faultOccurs(2) {
		return -1, randomErrno(ENFILE, EMFILE, ENOBUFS, ENOMEM)
	}
	return Socket(family, kind, protocol)
}

func FaultyConnect(fd int, to Sockaddr) error {
	if faultOccurs(3) {
		return randomErrno(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS)
	}
	return Connect(fd, to)
}

func FaultyRead(fd int, p []byte) (int, error) {
	if faultOccurs(4) {
		return -1, EINTR
	}
	if len(p) > 1 && faultOccurs(5) {
		p = p[:1+faultRandom()%uint64(len(p))]
	}
	return Read(fd, p)
}

func FaultyWrite(fd int, p []byte) (int, error) {
	if faultOccurs(4) {
		return -1, EINTR
	}
	if len(p) > 1 && faultOccurs(6) {
		p = p[:1+faultRandom()%uint64(len(p)-1)]
	}
	return Write(fd, p)
}
`,
}
