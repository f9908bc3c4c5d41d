import { declarationArbitrary, makeDeclaration, makePropertyOptions } from '@lavenderturn/fixtures'
import { toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { diffDeclarations } from '../diffDeclarations'
import { emptyDeclaration } from '../emptyDeclaration'
import { decodeDeclaration } from './decodeDeclaration'
import { decodeDelta } from './decodeDelta'
import { encodeDeclaration } from './encodeDeclaration'
import { encodeDelta } from './encodeDelta'
import { EncodingError } from './EncodingError'

describe('the encodings', () => {
  it('give back what was encoded', () => {
    fc.assert(fc.property(declarationArbitrary(), declarationArbitrary(), (before, after) => {
      expect(decodeDeclaration(encodeDeclaration(before))).toEqual(before)
      const delta = diffDeclarations(before, after)
      expect(decodeDelta(encodeDelta(delta))).toEqual(delta)
    }), makePropertyOptions({ runs: 60 }))
    expect(decodeDeclaration(encodeDeclaration(emptyDeclaration()))).toEqual(emptyDeclaration())
  })

  it('refuse bytes that were cut anywhere, so that half of a declaration never comes into force', () => {
    fc.assert(fc.property(declarationArbitrary(), fc.nat(), (declaration, cut) => {
      const bytes = encodeDeclaration(declaration)
      expect(() => decodeDeclaration(bytes.subarray(0, cut % bytes.length))).toThrow(EncodingError)
      const lines = Buffer.from(bytes).toString().split('\n')
      lines.splice(1 + cut % (lines.length - 3), 1)
      expect(() => decodeDeclaration(Buffer.from(lines.join('\n')))).toThrow(EncodingError)
    }), makePropertyOptions({ runs: 200 }))
  })

  it('give equal declarations equal bytes in any order of entries', () => {
    const services = [{ id: toId<never>('stock'), floor: 0.5 }, { id: toId<never>('bins'), floor: 0.5 }]
    expect(encodeDeclaration(makeDeclaration({ services })))
      .toEqual(encodeDeclaration(makeDeclaration({ services: services.toReversed() })))
  })

  it('refuse entries that no declaration may hold', () => {
    const declaration = makeDeclaration({ services: [{ id: toId('stock'), floor: 2 }] })
    expect(() => decodeDeclaration(encodeDeclaration(declaration))).toThrow('services')
    expect(() => decodeDeclaration(encodeDeclaration(makeDeclaration({ teams: [] })))).toThrow('there is no team')
    expect(() => decodeDelta(encodeDeclaration(makeDeclaration()))).toThrow('not an encoded delta')
  })
})
