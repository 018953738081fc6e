package faultbuild

// libraryPatches are the places at which the program enters the kernel or reads the wall clock. Their files are named
// from the standard library's root; their texts quote it.
var libraryPatches = []Patch{
	{
		File: "time/time.go",
		Old:  "sec, nsec, mono := runtimeNow()\n\tif mono == 0 {",
		New:  "sec, nsec, mono := steppedNow()\n\tif mono == 0 {",
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

// libraryAdditions are files that the build has beside those of the standard library, by their path from its root. The
// indexes that they read are those of Setting.
var libraryAdditions = map[string]string{
	"time/zz_stepped.go": `package time

import "syscall"

func steppedNow() (sec int64, nsec int32, mono int64) {
	sec, nsec, mono = runtimeNow()
	step := syscall.FaultStep()
	if step == 0 {
		return sec, nsec, mono
	}
	wall := sec*1e9 + int64(nsec) + step
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
	faultPage  *[faultPageBytes / 8]int64
	faultDraws atomic.Uint64
)

func init() {
	path, named := Getenv("` + PageEnvVar + `")
	if !named {
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
	faultDraws.Store(uint64(Getpid()) * 0x9e3779b97f4a7c15)
}

func faultSetting(index int) int64 {
	if faultPage == nil {
		return 0
	}
	return atomic.LoadInt64(&faultPage[index])
}

func faultDraw() uint64 {
	x := faultDraws.Add(0x9e3779b97f4a7c15)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func faultHits(index int) bool {
	rate := faultSetting(index)
	return rate > 0 && int64(faultDraw()%1e6) < rate
}

func faultOf(all ...Errno) error { return all[faultDraw()%uint64(len(all))] }

func FaultStep() int64 { return faultSetting(0) }

func FaultyAccept(fd int) (int, Sockaddr, error) {
	if faultHits(1) {
		return -1, nil, faultOf(ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM)
	}
	return Accept(fd)
}

func FaultyAccept4(fd, flags int) (int, Sockaddr, error) {
	if faultHits(1) {
		return -1, nil, faultOf(ECONNABORTED, ENFILE, ENOBUFS, EINTR, ENOMEM)
	}
	return Accept4(fd, flags)
}

func FaultySocket(family, kind, protocol int) (int, error) {
	if faultHits(2) {
		return -1, faultOf(ENFILE, EMFILE, ENOBUFS, ENOMEM)
	}
	return Socket(family, kind, protocol)
}

func FaultyConnect(fd int, to Sockaddr) error {
	if faultHits(3) {
		return faultOf(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS)
	}
	return Connect(fd, to)
}

func FaultyRead(fd int, p []byte) (int, error) {
	if faultHits(4) {
		return -1, EINTR
	}
	if len(p) > 1 && faultHits(5) {
		p = p[:1+faultDraw()%uint64(len(p))]
	}
	return Read(fd, p)
}

func FaultyWrite(fd int, p []byte) (int, error) {
	if faultHits(4) {
		return -1, EINTR
	}
	if len(p) > 1 && faultHits(6) {
		p = p[:1+faultDraw()%uint64(len(p)-1)]
	}
	return Write(fd, p)
}
`,
}
