import { createHash } from 'node:crypto'
import { exitCodes } from '../exitCodes'
import type { Output } from '../Output'

/** Random bytes of a key; with 256 bits a plain hash cannot be searched. */
const KEY_BYTES = 32

/** Tells a key from other secrets when one turns up in a text. */
const KEY_PREFIX = 'lvt_'

/**
 * Makes a key. It is printed once and stored nowhere.
 *
 * @param randomBytes - source of random bytes
 * @returns the key and its hash
 * @internal
 */
export function createKey (randomBytes: (count: number) => Buffer): Output {
  const key = `${KEY_PREFIX}${randomBytes(KEY_BYTES).toString('base64url')}`
  const hash = hashDeclared(key)
  return { lines: [`key:  ${key}`, `hash: ${hash}`], value: { key, hash }, exitCode: exitCodes.done }
}

/**
 * @param input - a key, with or without a line break after it
 * @returns the hash as it stands in a declaration
 * @internal
 */
export function hashInput (input: string): Output {
  const key = input.replace(/\r?\n$/, '')
  if (!/^\S+$/.test(key)) {
    const line = 'standard input must hold one key without white space'
    return { lines: [line], value: { error: line }, exitCode: exitCodes.badSetting }
  }
  const hash = hashDeclared(key)
  return { lines: [hash], value: { hash }, exitCode: exitCodes.done }
}

function hashDeclared (key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`
}
