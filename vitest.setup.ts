import { afterEach } from 'vitest'

// Tests in virtual time compute without a pause, and the runner gives up a worker that does not answer for 60 s. The
// event loop therefore turns between two tests.
afterEach(async () => { await new Promise((resolve) => { setImmediate(resolve) }) })
