// Package targetpb encodes the messages about targets between a balancer and the lease
// holder of its failure domain. An opinion takes one byte for each target, in the order
// of the targets in the configuration.
//
// # Usage
//
//	b, err := targetpb.Marshal(opinions, cfg)
//	opinions, err := targetpb.Unmarshal(b, cfg)
//
//	b, err := targetpb.MarshalReport(report)
//	report, err := targetpb.UnmarshalReport(b)
//
// Marshal and Unmarshal need a configuration with the same number at both ends. A report
// carries the number of its configuration.
package targetpb

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wisteriaweir/service"
	"wisteriaweir/target"
)

// NumberError reports opinions about a configuration with another number than the
// expected one.
type NumberError struct {
	// Got is the configuration number of the opinions, Want that of the receiver.
	Got, Want uint64
}

func (e *NumberError) Error() string {
	return fmt.Sprintf("opinions refer to configuration %d, expected %d", e.Got, e.Want)
}

// ShapeError reports opinions that are inconsistent in themselves or do not fit the
// configuration of their number.
type ShapeError struct {
	Reason string
}

func (e *ShapeError) Error() string {
	return "opinions do not fit the configuration: " + e.Reason
}

// Marshal encodes o. Opinions about targets that cfg does not have are omitted.
func Marshal(o target.OpinionsReplaced, cfg service.Config) ([]byte, error) {
	levels := make(map[target.Opinion]target.Level, len(o.Opinions))
	for _, p := range o.Opinions {
		levels[target.Opinion{Service: p.Service, Target: p.Target}] = p.Level
	}
	m := &Opined{Number: cfg.Number, Member: o.Member}
	for _, s := range cfg.Services {
		row := make([]byte, len(s.Pool))
		for i, t := range s.Pool {
			if level, ok := levels[target.Opinion{Service: s.Name, Target: t.Name}]; ok {
				row[i] = byte(level) + 1
			}
		}
		m.Levels = append(m.Levels, row)
	}
	return proto.Marshal(m)
}

// Unmarshal decodes opinions about the targets of cfg. It returns a NumberError if they
// refer to another configuration number, a ShapeError if they do not fit cfg, and the error
// of package proto if b is not an encoded message.
func Unmarshal(b []byte, cfg service.Config) (target.OpinionsReplaced, error) {
	var m Opined
	if err := proto.Unmarshal(b, &m); err != nil {
		return target.OpinionsReplaced{}, err
	}
	if m.GetNumber() != cfg.Number {
		return target.OpinionsReplaced{}, &NumberError{Got: m.GetNumber(), Want: cfg.Number}
	}
	if len(m.GetLevels()) != len(cfg.Services) {
		return target.OpinionsReplaced{}, &ShapeError{Reason: fmt.Sprintf("unexpected number of services: %d", len(m.GetLevels()))}
	}
	o := target.OpinionsReplaced{Member: m.GetMember()}
	for i, s := range cfg.Services {
		opinions, err := decodeRow(m.GetLevels()[i], s)
		if err != nil {
			return target.OpinionsReplaced{}, err
		}
		o.Opinions = append(o.Opinions, opinions...)
	}
	return o, nil
}

// decodeRow decodes the opinions about the targets of one service.
func decodeRow(row []byte, s service.Service) ([]target.Opinion, error) {
	if len(row) != len(s.Pool) {
		return nil, &ShapeError{Reason: fmt.Sprintf("%d targets of %s", len(row), s.Name)}
	}
	var opinions []target.Opinion
	for i, t := range s.Pool {
		level := target.Level(row[i]) - 1
		switch {
		case level < target.LevelNone:
		case level > target.LevelFull:
			return nil, &ShapeError{Reason: fmt.Sprintf("invalid level %d of target %s", level, t.Name)}
		default:
			opinions = append(opinions, target.Opinion{Service: s.Name, Target: t.Name, Level: level})
		}
	}
	return opinions, nil
}
