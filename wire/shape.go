package wire

import "encoding/binary"

const (
	// maxNesting bounds how deep the values of a message nest; those of Reply nest five deep. The
	// decoder recurses into values that it skips, and a stack overflow ends the process.
	maxNesting = 16
	// maxValues bounds the values of a message. A value of one byte may take a hundred when it is
	// decoded; in the largest frame the values of published entries have 16 and more.
	maxValues = MaxFrame / 16
)

// checkShape checks how the values of a body nest, and that each list has the values that it
// announces, before the decoder allocates memory and stack for them.
func checkShape(body []byte) error {
	var left [maxNesting]int // values to come at each depth
	left[0] = 1
	depth, values := 0, 0
	for {
		for left[depth] == 0 {
			if depth == 0 {
				return nil
			}
			depth--
		}
		left[depth]--
		size, children, ok := shapeOf(body)
		if !ok || size > len(body) {
			return ErrFrame.New("value %d is cut or has an unknown code", values)
		}
		body = body[size:]
		if values++; values > maxValues {
			return ErrFrame.New("more than %d values", maxValues)
		}
		if children == 0 {
			continue
		}
		if depth++; depth == maxNesting {
			return ErrFrame.New("values nest more than %d deep", maxNesting)
		}
		left[depth] = children
	}
}

// layout describes the values of a msgpack code: size bytes follow the code, and a number of
// width bytes after these tells how many further bytes there are, or how many elements of
// children values.
type layout struct{ width, size, children int }

// firstCode is the first of the codes from nil to map 32, of which unusedCode is none.
const (
	firstCode  = 0xc0
	unusedCode = 0xc1
)

var layouts = [...]layout{
	{}, {}, {}, {}, // nil, unused, false, true
	{width: 1}, {width: 2}, {width: 4}, // bin
	{width: 1, size: 1}, {width: 2, size: 1}, {width: 4, size: 1}, // ext
	{size: 4}, {size: 8}, // float
	{size: 1}, {size: 2}, {size: 4}, {size: 8}, // uint
	{size: 1}, {size: 2}, {size: 4}, {size: 8}, // int
	{size: 2}, {size: 3}, {size: 5}, {size: 9}, {size: 17}, // fixext
	{width: 1}, {width: 2}, {width: 4}, // str
	{width: 2, children: 1}, {width: 4, children: 1}, // array
	{width: 2, children: 2}, {width: 4, children: 2}, // map
}

// shapeOf returns the size in bytes of the value at the start of a body, without the values that
// it contains, and the number of these.
func shapeOf(body []byte) (size, children int, ok bool) {
	if len(body) == 0 || body[0] == unusedCode {
		return 0, 0, false
	}
	switch c := int(body[0]); {
	case c < 0x80 || c >= 0xe0: // number
		return 1, 0, true
	case c < 0x90: // map
		return 1, 2 * (c & 0x0f), true
	case c < 0xa0: // array
		return 1, c & 0x0f, true
	case c < firstCode: // string
		return 1 + c&0x1f, 0, true
	}
	l := layouts[body[0]-firstCode]
	if len(body) < 1+l.width {
		return 0, 0, false
	}
	n := 0
	switch number := body[1:]; l.width {
	case 1:
		n = int(number[0])
	case 2:
		n = int(binary.BigEndian.Uint16(number))
	case 4:
		n = int(binary.BigEndian.Uint32(number))
	}
	if l.children > 0 {
		return 1 + l.width, l.children * n, true
	}
	return 1 + l.width + l.size + n, 0, true
}
