import { describe, expect, it } from 'vitest'
import { findPorts } from './findPorts'

describe('findPorts', () => {
  // Guards against fleets of one process that fail to start because they were given the same port.
  it('never returns a port twice, even for concurrent calls', async () => {
    const found = await Promise.all([findPorts(20), findPorts(20), findPorts(20, 'udp'), findPorts(20)])
    expect(new Set(found.flat()).size).toBe(80)
  })
})
