import { makePropertyOptions } from '@lavenderturn/fixtures'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { normalisePath } from './normalisePath'

describe('normalisePath', () => {
  // Guards against a path that does not match its route because it is spelled differently.
  it.each([
    ['/', '/'], ['/stock', '/stock'], ['/stock/', '/stock'], ['/st%6Fck', '/stock'], ['/a b', '/a%20b'],
    ['/%c3%a9', '/%C3%A9'], ['/.well-known/x', '/.well-known/x']
  ])('normalises %s to %s', (path, normalised) => {
    expect(normalisePath(path)).toBe(normalised)
  })

  // Guards against a path that matches one route here and is served as another path by the backend server.
  it.each([
    '', 'stock', '*', '//', '/a//b', '/a/../b', '/a/%2E%2e/b', '/./a', '/a%2fb', '/a%5Cb', '/a\\b', '/a%00', '/a%',
    '/a%ff', '/a?b', '/a#b'
  ])('rejects %s, which servers interpret differently', (path) => {
    expect(normalisePath(path)).toBeUndefined()
  })

  // Guards against several forms of one path, of which only one would match the access rule of its route.
  it('does not change a normalised path', () => {
    const path = fc.array(fc.string({ minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 4 })
    fc.assert(fc.property(path, (segments) => {
      const normalised = normalisePath(`/${segments.join('/')}`)
      if (normalised !== undefined) expect(normalisePath(normalised)).toBe(normalised)
    }), makePropertyOptions({ runs: 500 }))
  })
})
