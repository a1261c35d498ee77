package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
)

// node is one machine of the system: an entry in a process of its own.
type node struct {
	number        int
	name, zone    string
	front, ready  string
	settings, log string
	command       []string
	record        *record

	running *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// zoneOf spreads eight nodes over four zones.
var zoneOf = []string{"gye-norte", "gye-norte", "gye-sur", "gye-sur", "gye-sur", "uio-centro", "uio-centro", "cue-bodega"}

func nodeIP(n int) string { return fmt.Sprintf("127.0.31.%d", n+1) }

// deployCommand returns the words of the deploy file's run command.
func deployCommand(root string) ([]string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("the deploy file has no run command")
	}
	words := strings.Fields(string(found[1]))
	words[0] = filepath.Join(root, words[0])
	return words, nil
}

// commonPorts returns ports that are free on every node's address.
func commonPorts(count int) ([]int, error) {
	var ports []int
	for port := 20011 + os.Getpid()*7%5000; port < 30000 && len(ports) < count; port++ {
		if portFree(port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, fmt.Errorf("too few free ports")
	}
	return ports, nil
}

func portFree(port int) bool {
	for n := range zoneOf {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", nodeIP(n), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// writeSettings writes the node's settings file as the platform does.
func (n *node) writeSettings(storeAddress string, ports []int) error {
	ip := nodeIP(n.number)
	n.front, n.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	lines := []string{
		"node=" + n.name, "role=entry", "class=edge", "serves=edge,control_plane", "ip=" + ip, "zone=" + n.zone, "region=costa-sierra",
		"listen.front=" + n.front, "listen.ready=" + n.ready, fmt.Sprintf("listen.control=%s:%d", ip, ports[2]),
		fmt.Sprintf("port_range=%d,%d", ports[3], ports[3]),
		fmt.Sprintf("seeds=%s:%d,%s:%d,%s:%d", nodeIP(0), ports[2], nodeIP(2), ports[2], nodeIP(5), ports[2]),
		"bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"bounds.stable_window_ms=3000", "bounds.grace_s=6", "bounds.hold_max_ms=10000", "bounds.stop_ms=900",
		"bounds.visible_ms=3000", "bounds.status_s=120", "bounds.far_x=3", "bounds.reclaim_ms=3400", "bounds.drain_ms=2000",
		"orders=invoke", "platform.address=" + storeAddress, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return os.WriteFile(n.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(n.command[0], n.command[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYSTREAM_SETTINGS=" + n.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	n.running, n.exited = c, exited
	n.record.line("node %s starts", n.name)
	return nil
}

// kill ends the process at the end of the script.
func (n *node) kill() {
	if n.running != nil {
		_ = n.running.Process.Kill()
		<-n.exited
	}
}
