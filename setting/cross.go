package setting

import "net/netip"

// combinationMistakes reports settings that are valid alone but not in
// combination.
func combinationMistakes(b Balancer) []Mistake {
	mistakes := addressConflicts(b.Addresses)
	mistakes = append(mistakes, missingKeyFiles(b)...)
	return append(mistakes, contradictoryTimes(b.Times)...)
}

// addressConflicts reports two UDP or two TCP addresses that are equal: two
// listeners, or a UDP listener and the fabric address.
func addressConflicts(a Addresses) []Mistake {
	var mistakes []Mistake
	if a.Hop.IsValid() && a.Hop == a.Entry {
		mistakes = append(mistakes, Mistake{"hop-address", a.Hop.String(), "another address than --entry-address"})
	}
	if a.Fabric.IsValid() && (a.Fabric == a.Entry || a.Fabric == a.Hop) {
		mistakes = append(mistakes, Mistake{"fabric-address", a.Fabric.String(), "another address than --entry-address and --hop-address"})
	}
	if a.Monitor.IsValid() && a.Monitor == a.Control {
		mistakes = append(mistakes, Mistake{"monitor-address", a.Monitor.String(), "another address than --control-address"})
	}
	return mistakes
}

// missingKeyFiles reports TLS files that are missing although another one is set
// or the control address is not on loopback, a missing hop key file although
// the hop address is not on loopback, and a --monitor-tls that needs TLS files
// although none are set.
func missingKeyFiles(b Balancer) []Mistake {
	var mistakes []Mistake
	files := []struct{ flag, path string }{
		{"tls-cert", b.TLS.CertFile}, {"tls-key", b.TLS.KeyFile}, {"tls-ca", b.TLS.CAFile},
	}
	needed := isOutsideLoopback(b.Addresses.Control)
	for _, f := range files {
		needed = needed || f.path != ""
	}
	for _, f := range files {
		if needed && f.path == "" {
			mistakes = append(mistakes, Mistake{f.flag, "", "a file, when another TLS file is given or --control-address is not on loopback"})
		}
	}
	if b.MonitorTLS == MonitorAll && !needed {
		mistakes = append(mistakes, Mistake{"monitor-tls", MonitorAll, MonitorDump + ", when no TLS file is given"})
	}
	if isOutsideLoopback(b.Addresses.Hop) && b.HopKeyFile == "" {
		mistakes = append(mistakes, Mistake{"hop-key", "", "a file, when --hop-address is not on loopback"})
	}
	return mistakes
}

// isOutsideLoopback reports whether a is a valid address that is not on
// loopback.
func isOutsideLoopback(a netip.AddrPort) bool {
	return a.IsValid() && !a.Addr().IsLoopback()
}

// contradictoryTimes reports times that contradict each other. Times that could
// not be parsed are zero. They are skipped here, since they are reported already.
func contradictoryTimes(t Times) []Mistake {
	var mistakes []Mistake
	if t.RequestDeadlineMax > 0 && t.RequestDeadline > t.RequestDeadlineMax {
		mistakes = append(mistakes, Mistake{"request-deadline", t.RequestDeadline.String(), "at most --request-deadline-max, " + t.RequestDeadlineMax.String()})
	}
	if t.RepeatWindow > 0 && t.RequestDeadlineMax > t.RepeatWindow {
		mistakes = append(mistakes, Mistake{"repeat-window", t.RepeatWindow.String(), "at least --request-deadline-max, " + t.RequestDeadlineMax.String()})
	}
	if t.LeaseTerm > 0 && t.SkewBound >= t.LeaseTerm/2 {
		mistakes = append(mistakes, Mistake{"skew-bound", t.SkewBound.String(), "less than half of --lease-term, " + t.LeaseTerm.String()})
	}
	if t.LeaseTerm > 0 && t.Heartbeat >= t.LeaseTerm {
		mistakes = append(mistakes, Mistake{"heartbeat", t.Heartbeat.String(), "less than --lease-term, " + t.LeaseTerm.String()})
	}
	return mistakes
}
