import { createHash } from 'node:crypto'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'

/** 256 random bits, which makes an unsalted hash safe against brute force. */
const KEY_BYTES = 32

/** Makes keys recognizable in logs and files, for example to secret scanners. */
const KEY_PREFIX = 'lvt_'

/**
 * Generates a key. It is printed once and not stored.
 *
 * @param randomBytes - source of random bytes
 * @returns the key and its hash
 * @internal
 */
export function createKey (randomBytes: (count: number) => Buffer): Output {
  const key = `${KEY_PREFIX}${randomBytes(KEY_BYTES).toString('base64url')}`
  const hash = hashKey(key)
  return { lines: [`key:  ${key}`, `hash: ${hash}`], value: { key, hash }, exitCode: exitCodes.done }
}

/**
 * @param input - a key, optionally followed by a line break
 * @returns the hash in the format of a declaration
 * @internal
 */
export function hashInput (input: string): Output {
  const key = input.replace(/\r?\n$/, '')
  if (!/^\S+$/.test(key)) {
    const line = 'standard input must hold one key without white space'
    return { lines: [line], value: { error: line }, exitCode: exitCodes.badSetting }
  }
  const hash = hashKey(key)
  return { lines: [hash], value: { hash }, exitCode: exitCodes.done }
}

function hashKey (key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`
}
