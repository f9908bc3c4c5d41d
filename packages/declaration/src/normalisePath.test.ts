import { makePropertyOptions } from '@lavenderturn/fixtures'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { normalisePath } from './normalisePath'

describe('normalisePath', () => {
  it.each([
    ['/', '/'], ['/stock', '/stock'], ['/stock/', '/stock'], ['/st%6Fck', '/stock'], ['/a b', '/a%20b'],
    ['/%c3%a9', '/%C3%A9'], ['/.well-known/x', '/.well-known/x']
  ])('writes %s as %s', (path, normal) => {
    expect(normalisePath(path)).toBe(normal)
  })

  it.each([
    '', 'stock', '*', '//', '/a//b', '/a/../b', '/a/%2E%2e/b', '/./a', '/a%2fb', '/a%5Cb', '/a\\b', '/a%00', '/a%',
    '/a%ff', '/a?b', '/a#b'
  ])('refuses %s, which servers read in different ways', (path) => {
    expect(normalisePath(path)).toBeUndefined()
  })

  it('does not change a normal path, so that one path has one form', () => {
    const path = fc.array(fc.string({ minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 4 })
    fc.assert(fc.property(path, (segments) => {
      const normal = normalisePath(`/${segments.join('/')}`)
      if (normal !== undefined) expect(normalisePath(normal)).toBe(normal)
    }), makePropertyOptions({ runs: 500 }))
  })
})
