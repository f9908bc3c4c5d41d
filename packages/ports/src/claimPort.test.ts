import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { claimPort } from './claimPort'

const PORT = 20_000

/** Larger than any process id. */
const ENDED_PID = 2 ** 30

let folder: string

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'claims-')) })

afterEach(() => { rmSync(folder, { recursive: true }) })

describe('claimPort', () => {
  // Guards against two test processes that start nodes on the same port: the second node ends with code 1.
  it('refuses a port that another running process has claimed', () => {
    writeFileSync(join(folder, String(PORT)), String(process.ppid))
    expect(claimPort(PORT, { folder })).toBe(false)
    expect(claimPort(PORT + 1, { folder })).toBe(true)
  })

  it('takes over the claims of processes that have ended', () => {
    writeFileSync(join(folder, String(PORT)), String(ENDED_PID))
    expect(claimPort(PORT, { folder })).toBe(true)
    expect(readFileSync(join(folder, String(PORT)), 'utf8')).toBe(String(process.pid))
  })
})
