package simwire

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"sloestile/control"
)

// AppendEnd appends the line that ends a reply.
func AppendEnd(b []byte) []byte { return append(b, "yield\n"...) }

// AppendBailOut appends the line that reports the failure of an instance, with the reason in text.
func AppendBailOut(b []byte, instance int, text string) []byte {
	return appendText(appendHeader(b, "bail_out", instance), text)
}

// AppendAction appends the line for one action of an instance. It panics on an action of an unknown type.
func AppendAction(b []byte, instance int, a control.Action) []byte {
	switch a := a.(type) {
	case control.Send:
		b = appendPair(appendHeader(b, "call_out", instance), " xid=", a.ID)
		b = strconv.AppendUint(append(b, " server="...), uint64(a.Server), 10)
		if a.Timeout != 0 {
			b = appendMS(append(b, " within="...), a.Timeout)
		}
	case control.CancelAttempt:
		b = appendPair(appendHeader(b, "withdraw", instance), " xid=", a.ID)
		b = strconv.AppendInt(append(b, " n="...), int64(a.Attempt), 10)
	case control.Reject:
		b = appendPair(appendHeader(b, "busy", instance), " xid=", a.ID)
		if a.RetryAfter > 0 {
			b = appendMS(append(b, " backoff="...), a.RetryAfter)
		}
	case control.Fail:
		b = appendPair(appendHeader(b, "finish_error", instance), " xid=", a.ID)
	case control.SetTimer:
		b = appendMS(append(appendHeader(b, "arm", instance), " offset="...), a.After)
		b = strconv.AppendUint(append(b, " label="...), a.Label, 10)
	case control.HealthCheck:
		b = strconv.AppendUint(append(appendHeader(b, "poll", instance), " server="...), uint64(a.Server), 10)
	case control.Disconnect:
		b = strconv.AppendUint(append(appendHeader(b, "disconnect", instance), " server="...), uint64(a.Server), 10)
	case control.Watch:
		b = appendPair(appendHeader(b, "follow", instance), " active=", map[bool]string{true: "1", false: "0"}[a.Active])
	case control.FetchList:
		b = appendHeader(b, "snapshot", instance)
	case control.SendToPeer:
		b = append(appendHeader(b, "say", instance), " neighbour-id="...)
		if a.To < 0 {
			b = append(b, "all"...)
		} else {
			b = strconv.AppendInt(b, int64(a.To), 10)
		}
		b = appendPair(b, " raw=", hexOrDash(a.Raw))
	case control.AddToCounter:
		b = strconv.AppendUint(append(appendHeader(b, "incr", instance), " cname="...), a.Name, 10)
		b = strconv.AppendFloat(append(b, " by="...), a.Add, 'f', -1, 64)
		b = appendMS(append(b, " expire-in="...), a.TTL)
	case control.LogLine:
		return appendText(appendHeader(b, "remark", instance), a.Text)
	default:
		panic(fmt.Sprintf("simwire: unknown action type %T", a))
	}
	return append(b, '\n')
}

// appendHeader appends the name of a line and the instance that it is for.
func appendHeader(b []byte, name string, instance int) []byte {
	return strconv.AppendInt(append(append(b, name...), " who="...), int64(instance), 10)
}

func appendPair(b []byte, key, value string) []byte { return append(append(b, key...), value...) }

// appendMS appends d in milliseconds, truncated to whole microseconds.
func appendMS(b []byte, d time.Duration) []byte {
	return strconv.AppendFloat(b, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}

// appendText appends free text and the end of the line. Control characters in the text become blanks.
func appendText(b []byte, text string) []byte {
	text = strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, text)
	return append(appendPair(b, " body-text=", text), '\n')
}

// hexOrDash returns raw in hexadecimal, or "-" if it is empty.
func hexOrDash(raw []byte) string {
	if len(raw) == 0 {
		return "-"
	}
	return hex.EncodeToString(raw)
}
