package trial

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// stopTimeout is how long a process may take to stop before it is killed.
const stopTimeout = 20 * time.Second

// Process is one process of a fleet.
type Process struct {
	name      string
	program   string
	arguments []string
	logPath   string
	command   *exec.Cmd
	// ended is closed once the running command has ended.
	ended chan struct{}
}

// Name returns the name of the process in the fleet.
func (process *Process) Name() string { return process.name }

// LogPath returns the path of the file with the output of the process.
func (process *Process) LogPath() string { return process.logPath }

// Start starts the process, or restarts it after it has ended.
func (process *Process) Start() error {
	if err := os.MkdirAll(filepath.Dir(process.logPath), 0o755); err != nil {
		return err
	}
	log, err := os.OpenFile(process.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	// The process runs until it is killed, not until some context is cancelled.
	command := exec.CommandContext(context.Background(), process.program, process.arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return merry.Prependf(err, "start %s", process.name)
	}
	process.command = command
	ended := make(chan struct{})
	process.ended = ended
	go func() {
		// The reason why a process ended is in its log.
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// Kill kills the process and waits until it has ended.
func (process *Process) Kill() { process.end(syscall.SIGKILL) }

// Terminate asks the process to stop gracefully and waits until it has ended. After
// stopTimeout it kills the process.
func (process *Process) Terminate() { process.end(syscall.SIGTERM) }

// Freeze suspends the process until [Process.Thaw].
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (process *Process) Thaw() { process.signal(syscall.SIGCONT) }

// Ended returns a channel that is closed once the process has ended.
func (process *Process) Ended() <-chan struct{} { return process.ended }

func (process *Process) signal(signal syscall.Signal) {
	if process.command == nil {
		return
	}
	// Signaling a process that has ended fails, which is harmless here.
	_ = process.command.Process.Signal(signal)
}

func (process *Process) end(signal syscall.Signal) {
	if process.command == nil {
		return
	}
	process.signal(signal)
	select {
	case <-process.ended:
	case <-time.After(stopTimeout):
		process.signal(syscall.SIGKILL)
		<-process.ended
	}
}
