import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, describe, expect, it } from 'vitest'
import { LogSink } from './LogSink'

const folders: string[] = []

afterEach(() => { for (const folder of folders.splice(0)) rmSync(folder, { recursive: true }) })

function openLog (): { readonly path: string, readonly fd: number } {
  const folder = mkdtempSync(join(tmpdir(), 'log-sink-'))
  folders.push(folder)
  const path = join(folder, 'log')
  return { path, fd: openSync(path, 'w') }
}

async function waitForWrites (): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, 100) })
}

describe('LogSink', () => {
  it('writes all lines in order', async () => {
    const { path, fd } = openLog()
    const sink = new LogSink({ fd })
    for (let index = 0; index < 100; index++) sink.write(`line ${index}`)
    await waitForWrites()
    expect(readFileSync(path, 'utf8').trim().split('\n')).toEqual(Array.from({ length: 100 }, (_, index) => `line ${index}`))
  })

  it('drops lines beyond its buffer limit and logs how many were dropped', async () => {
    const { path, fd } = openLog()
    const sink = new LogSink({ fd, maxWaitingBytes: 50 })
    for (let index = 0; index < 100; index++) sink.write('a line of text')
    expect(sink.droppedLines).toBeGreaterThan(90)
    await waitForWrites()
    sink.write('last')
    await waitForWrites()
    expect(readFileSync(path, 'utf8')).toContain('log lines dropped')
  })

  it('neither throws nor buffers lines when its output is closed', async () => {
    const { fd } = openLog()
    closeSync(fd)
    const sink = new LogSink({ fd })
    sink.write('to a closed descriptor')
    await waitForWrites()
    for (let index = 0; index < 1_000; index++) sink.write('to a closed descriptor')
    expect(sink.droppedLines).toBe(1_000)
  })
})
