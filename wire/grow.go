package wire

import (
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Report and Reply can get new fields, because entries of two releases exchange them during
// a rolling upgrade. The fields of the first version are encoded as an array, which takes
// the fewest bytes. If a field that was added later is set, the message is encoded as a map
// from field names to values. A receiver skips fields that it does not know and accepts
// arrays of any length; a missing field is zero, and each field documents what zero means.
//
// If an added field made the releases refuse each other's reports, entries would overload
// engines and take too large shares of the retry budget during the upgrade.

// Numbers of fields in the first version of the messages; later fields follow them.
const (
	reportV1Fields = 11
	replyV1Fields  = 8
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *Report) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeVersioned(e, m, reportV1Fields)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *Report) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields Report
	return decodeMapOrArray(d, (*fields)(m))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *Reply) EncodeMsgpack(e *msgpack.Encoder) error { return encodeVersioned(e, m, replyV1Fields) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *Reply) DecodeMsgpack(d *msgpack.Decoder) error {
	type fields Reply
	return decodeMapOrArray(d, (*fields)(m))
}

// encodeVersioned encodes a struct as an array of its first fields, or as a map if a later
// field is set.
func encodeVersioned(e *msgpack.Encoder, m any, first int) error {
	v := reflect.ValueOf(m).Elem()
	for i := first; i < v.NumField(); i++ {
		if !v.Field(i).IsZero() {
			return encodeMap(e, v)
		}
	}
	if err := e.EncodeArrayLen(first); err != nil {
		return err
	}
	for i := range first {
		if err := e.Encode(v.Field(i).Interface()); err != nil {
			return err
		}
	}
	return nil
}

// encodeMap encodes a struct as a map from field names to values, without zero fields.
func encodeMap(e *msgpack.Encoder, v reflect.Value) error {
	set := 0
	for i := range v.NumField() {
		if !v.Field(i).IsZero() {
			set++
		}
	}
	if err := e.EncodeMapLen(set); err != nil {
		return err
	}
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			continue
		}
		if err := e.EncodeString(v.Type().Field(i).Name); err != nil {
			return err
		}
		if err := e.Encode(v.Field(i).Interface()); err != nil {
			return err
		}
	}
	return nil
}

// decodeMapOrArray decodes a struct that was encoded by encodeMap or as an array.
func decodeMapOrArray(d *msgpack.Decoder, m any) error {
	code, err := d.PeekCode()
	if err != nil {
		return err
	}
	if !msgpcode.IsFixedArray(code) && code != msgpcode.Array16 {
		return d.Decode(m)
	}
	return decodeArray(d, reflect.ValueOf(m).Elem())
}

// decodeArray decodes an array into the fields of v in their order and skips elements
// beyond the last field.
func decodeArray(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := range n {
		if i >= v.NumField() {
			if err := d.Skip(); err != nil {
				return err
			}
			continue
		}
		if err := d.Decode(v.Field(i).Addr().Interface()); err != nil {
			return err
		}
	}
	return nil
}
