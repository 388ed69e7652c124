package loop

import "time"

// Clock returns the time since an arbitrary start. It must include time during which
// the process or its machine is suspended.
type Clock func() time.Duration
