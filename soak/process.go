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

// Ports of each host.
const (
	portPackets  = 7400
	portReady    = 7401
	portMessages = 7410
	portStore    = 7200
)

// signalSetupTime is the time after its start within which a process takes charge of
// its signals.
const signalSetupTime = 200 * time.Millisecond

// process is one host as a process of its own. Only processes started here are
// ever signalled, by their ids.
type process struct {
	name, program, dir string
	settingsPath       string

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended, wanted says that its end was.
	done         chan struct{}
	exitExpected bool
	// paused says that it is stopped by a signal.
	paused bool
	// startedAt is when the process was started, calmAt the end of the last trouble
	// made.
	startedAt time.Time
	clearedAt time.Time
	// unexpectedExits are the processes that ended without an order, as complaints.
	unexpectedExits []string
}

// writeSettings writes the settings of a host as the platform does.
func writeSettings(path, name, domain string, ip netip.Addr, storeAddress string, bootstrap bool) error {
	text := fmt.Sprintf(`node_name=%s
zone=%s
ip=%s
listen.datagram_addr=%s:%d
listen.ready=%s:%d
internal_ports=%d,%d
bootstrap=%v
limits.memory_mb=284
bounds.grace_s=6
heartbeat_ms=500
platform.address=%s
`, name, domain, ip, ip, portPackets, ip, portReady, portMessages, portMessages+5, bootstrap, storeAddress)
	return os.WriteFile(path, []byte(text), 0o644)
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "host", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.exitExpected, p.paused = cmd, done, false, false
	p.startedAt = time.Now()
	p.clearedAt = p.startedAt
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd && !p.exitExpected {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		close(done)
	}()
	return nil
}

// signal sends a signal. An order to end is remembered.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		p.exitExpected = true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	p.clearedAt = time.Now()
	_ = p.cmd.Process.Signal(s)
}

// exited returns a channel that is closed at the end of the process.
func (p *process) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// hadFaultsSince reports whether the process was in trouble at any time from since
// on.
func (p *process) hadFaultsSince(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused || p.clearedAt.After(since)
}

// justStarted reports whether the process is too young to have taken charge of its
// signals: until then an order to end kills it.
func (p *process) justStarted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt) < signalSetupTime
}

// exitCode returns the exit code of the ended process.
func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}
