package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of each host's addresses.
const (
	// packetPort is the UDP port on which a host receives packets.
	packetPort = 7400
	// readyPort is the TCP port on which a host serves its readiness.
	readyPort = 7401
	// messagePort is the first internal port of a host, on which it receives messages
	// of other hosts. The last internal port is messagePort+5.
	messagePort = 7410
	// storePort is the TCP port of the store and of each host's proxy to it.
	storePort = 7200
)

// signalSetupTime is the maximum time from the start of a process until its signal
// handlers are installed.
const signalSetupTime = 200 * time.Millisecond

// process is one host that runs as a separate process. Signals are sent only to
// processes that were started here, by their IDs.
type process struct {
	// name is the name of the host, and dir the directory of its log.
	name, dir    string
	settingsPath string
	// domain is the failure domain of the host, ip its address, and storeAddress the
	// address of its proxy to the store.
	domain, storeAddress string
	ip                   netip.Addr

	mu sync.Mutex
	// build is what the next start runs.
	build build
	cmd   *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
	// exitExpected reports whether the process was sent SIGTERM or SIGKILL.
	exitExpected bool
	// paused reports whether the process is stopped by SIGSTOP.
	paused bool
	// startedAt is when the process was last started.
	startedAt time.Time
	// lastFaultAt is the time of the last start or signal.
	lastFaultAt time.Time
	// lastResumedAt is the time of the last SIGCONT after a SIGSTOP.
	lastResumedAt time.Time
	// unexpectedExits has a line for each exit without SIGTERM or SIGKILL.
	unexpectedExits []string
}

// writeSettings writes the settings file of the host in the platform's format.
// isFirstStart is the value of the setting bootstrap. The file is replaced in one step, as
// the host may be reading it.
func (p *process) writeSettings(isFirstStart bool) error {
	text := fmt.Sprintf(`node_name=%s
zone=%s
ip=%s
listen.datagram_addr=%s:%d
listen.ready=%s:%d
internal_ports=%d,%d
bootstrap=%v
limits.memory_mb=284
bounds.grace_s=6
bounds.evacuate_ms=%d
heartbeat_ms=500
platform.address=%s
`, p.name, p.domain, p.ip, p.ip, packetPort, p.ip, readyPort, messagePort, messagePort+5, isFirstStart, evacuationBound.Milliseconds(), p.storeAddress)
	if err := os.WriteFile(p.settingsPath+".new", []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(p.settingsPath+".new", p.settingsPath)
}

// start starts the process. Its output is appended to the file NAME.log in dir, where
// NAME is the name of the host.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	args := append([]string{"host", "--settings", p.settingsPath}, p.build.flags...)
	cmd := exec.Command(p.build.program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.exitExpected, p.paused = cmd, done, false, false
	p.startedAt = time.Now()
	p.lastFaultAt = p.startedAt
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd && !p.exitExpected {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		close(done)
	}()
	return nil
}

// setBuild sets what the next start runs.
func (p *process) setBuild(b build) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.build = b
}

// currentBuild returns what the next start runs.
func (p *process) currentBuild() build {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.build
}

// signal sends a signal, and records whether the process is expected to exit and
// whether it is paused.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.exitExpected = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		if p.paused && !p.exitExpected {
			p.lastResumedAt = time.Now()
		}
		p.paused = false
	}
	p.lastFaultAt = time.Now()
	_ = p.cmd.Process.Signal(s)
}

// exited returns a channel that is closed when the process has exited.
func (p *process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// hadFaultsSince reports whether the process was paused, signalled or started at any
// time after since.
func (p *process) hadFaultsSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused || p.lastFaultAt.After(since)
}

// justStarted reports whether the process was started less than signalSetupTime ago,
// so that its signal handlers may be missing. Without them, SIGTERM kills the process
// and its exit code is not 0.
func (p *process) justStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt) < signalSetupTime
}

// exitCode returns the exit code of the process, which has to have exited.
func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// MakeDir creates an empty directory for a run of the given seed below root, removing
// the one of an earlier run, and returns its path.
func MakeDir(root string, seed uint64) (string, error) {
	dir := filepath.Join(root, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return "", err
	}
	return dir, os.MkdirAll(dir, 0o755)
}
