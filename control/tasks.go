package control

import "sync"

// tasks counts the goroutines that work for the controller.
type tasks struct {
	group sync.WaitGroup
}

func (t *tasks) goDo(f func()) { t.group.Go(f) }

func (t *tasks) wait() { t.group.Wait() }
