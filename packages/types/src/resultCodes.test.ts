import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { resultCodes } from './resultCodes'

describe('resultCodes', () => {
  // Guards against a documentation page that no longer matches the codes that callers receive.
  it('match docs/result-codes.md', () => {
    const page = readFileSync(new URL('../../../docs/result-codes.md', import.meta.url), 'utf8')
    const rows = page.split('\n').filter((line) => /^\| \d/.test(line)).map((line) => {
      const [, code, name, status, run, meaning, action] = line.split('|').map((cell) => cell.trim())
      expect(action).not.toBe('')
      return { code: Number(code), name, status: Number(status), run, title: meaning!.split('. ')[0] }
    })
    expect(rows).toEqual(Object.entries(resultCodes).map(([name, entry]) => ({ ...entry, name: `\`${name}\`` })))
  })

  // Guards against two results that callers cannot distinguish by their number.
  it('use each number only once', () => {
    const codes = Object.values(resultCodes).map(({ code }) => code)
    expect(new Set(codes).size).toBe(codes.length)
  })
})
