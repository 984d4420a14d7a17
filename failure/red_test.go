package failure

import "flag"

// runKnownRed runs the tests of this package that are listed in KNOWN-RED.txt, too.
var runKnownRed = flag.Bool("red", false, "run the tests that are listed in KNOWN-RED.txt, too")
