package loop

import "time"

// Clock returns the time since an arbitrary moment. It must go on while the
// process or its machine is suspended.
type Clock func() time.Duration
