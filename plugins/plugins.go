// Package plugins imports the plug-ins that are compiled into the binary.
package plugins

import (
	_ "ebonypulley/plugins/filter/ready"      // filter.ready
	_ "ebonypulley/plugins/picker/best"       // picker.best
	_ "ebonypulley/plugins/picker/random"     // picker.random
	_ "ebonypulley/plugins/picker/roundrobin" // picker.roundrobin
	_ "ebonypulley/plugins/picker/twochoices" // picker.twochoices
	_ "ebonypulley/plugins/scorer/distance"   // scorer.distance
	_ "ebonypulley/plugins/scorer/load"       // scorer.load
	_ "ebonypulley/plugins/scorer/prefix"     // scorer.prefix
)
