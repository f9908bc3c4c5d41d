import { declarationArbitrary, makeDeclaration, makePropertyOptions, makeRouteDeclaration } from '@lavenderturn/fixtures'
import { type TeamId, toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Declaration } from '../Declaration'
import { diffDeclarations } from '../diffDeclarations'
import { documentToDeclaration } from '../documentToDeclaration'
import { emptyDeclaration } from '../emptyDeclaration'
import { decodeDeclaration } from './decodeDeclaration'
import { decodeDelta } from './decodeDelta'
import { decodeDocument } from './decodeDocument'
import { encodeDeclaration } from './encodeDeclaration'
import { encodeDelta } from './encodeDelta'
import { EncodingError } from './EncodingError'

describe('declaration and delta encodings', () => {
  it('decode to what was encoded', () => {
    fc.assert(fc.property(declarationArbitrary(), declarationArbitrary(), (before, after) => {
      expect(decodeDeclaration(encodeDeclaration(before))).toEqual(before)
      const delta = diffDeclarations(before, after)
      expect(decodeDelta(encodeDelta(delta))).toEqual(delta)
    }), makePropertyOptions({ runs: 60 }))
    expect(decodeDeclaration(encodeDeclaration(emptyDeclaration()))).toEqual(emptyDeclaration())
  })

  // Guards against nodes that read different entries from a decoded document and from the declaration.
  it('decode to the same document as the declaration', () => {
    fc.assert(fc.property(declarationArbitrary(), (declaration) => {
      const document = decodeDocument(encodeDeclaration(declaration), { revision: toId(3) })
      expect(document.revision).toBe(3)
      expect(documentToDeclaration(document)).toEqual(declaration)
    }), makePropertyOptions({ runs: 60 }))
  })

  // Guards against a truncated declaration that comes into force.
  it('reject bytes that were truncated or lack a line', () => {
    fc.assert(fc.property(declarationArbitrary(), fc.nat(), (declaration, cut) => {
      const bytes = encodeDeclaration(declaration)
      const lines = Buffer.from(bytes).toString().split('\n')
      lines.splice(1 + cut % (lines.length - 3), 1)
      for (const part of [bytes.subarray(0, cut % bytes.length), Buffer.from(lines.join('\n'))]) {
        expect(() => decodeDeclaration(part)).toThrow(EncodingError)
        expect(() => decodeDocument(part, { revision: toId(1) })).toThrow(EncodingError)
      }
    }), makePropertyOptions({ runs: 200 }))
  })

  // Guards against equal declarations that are stored as different objects.
  it('encode equal declarations to equal bytes, regardless of the order of entries', () => {
    const services = [{ id: toId<never>('stock'), floor: 0.5 }, { id: toId<never>('bins'), floor: 0.5 }]
    expect(encodeDeclaration(makeDeclaration({ services })))
      .toEqual(encodeDeclaration(makeDeclaration({ services: services.toReversed() })))
  })

  // Guards against decoding a declaration that the parser would have rejected.
  it('reject invalid entries, duplicates and unknown references', () => {
    const { teams, keys, services } = makeDeclaration()
    const cases: Array<Partial<Declaration>> = [
      { services: [{ id: toId('stock'), floor: 2 }] }, { services: [...services, ...services] }, { services: [] },
      { teams: [] }, { teams: [...teams, ...teams] }, { keys: [...keys, ...keys] }, { dataCentres: [] },
      { routes: [makeRouteDeclaration({ access: [toId<TeamId>('nobody')] })] }
    ]
    for (const bytes of cases.map((options) => encodeDeclaration(makeDeclaration(options)))) {
      expect(() => decodeDeclaration(bytes)).toThrow(EncodingError)
      expect(() => decodeDocument(bytes, { revision: toId(1) })).toThrow(EncodingError)
    }
    expect(() => decodeDelta(encodeDeclaration(makeDeclaration()))).toThrow('not an encoded delta')
  })
})
