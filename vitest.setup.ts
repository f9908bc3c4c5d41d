import { afterEach } from 'vitest'

// Tests in virtual time block the event loop, and the runner abandons a worker that does not respond within 60 s. This
// lets the worker process messages of the runner between two tests.
afterEach(async () => { await new Promise((resolve) => { setImmediate(resolve) }) })
