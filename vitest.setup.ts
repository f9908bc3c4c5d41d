import { afterEach } from 'vitest'

// Tests in virtual time compute without a pause. The runner gives its worker up when it does not answer for 60 s, so that
// the event loop has to turn at least between two tests.
afterEach(async () => { await new Promise((resolve) => { setImmediate(resolve) }) })
