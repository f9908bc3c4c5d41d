import {
  declarationArbitrary, makeDeclaration, makeDeclaredHash, makePropertyOptions, makeRouteDeclaration, makeTeam
} from '@lavenderturn/fixtures'
import { type KeyHash, type Revision, toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { applyDelta, DeltaError } from './applyDelta'
import type { ControlDocument } from './ControlDocument'
import { createDocument } from './createDocument'
import type { Declaration } from './Declaration'
import { diffDeclarations, isEmptyDelta } from './diffDeclarations'
import { documentToDeclaration } from './documentToDeclaration'
import { emptyDeclaration } from './emptyDeclaration'

const PATHS = ['/', '/a', '/a/b', '/a/b/c/d', '/a/cc', '/b/a/', '/c d', '/x', '/a/../b']

function makeCompiled (declaration: Declaration, revision = 1): ControlDocument {
  return createDocument({ declaration, revision: toId<Revision>(revision) })
}

/** Reads everything that the reducer can read, for the entries of all given declarations. */
function lookUpAll (document: ControlDocument, declarations: readonly Declaration[]): unknown {
  return declarations.map(({ teams, keys, services, dataCentres }) => ({
    teams: teams.map(({ id }) => document.findTeam(id)),
    keys: keys.map(({ hash }) => document.findTeamByKey(toId<KeyHash>(hash.slice('sha256:'.length)))),
    routes: PATHS.flatMap((path) => ['GET', 'POST', 'PUT'].map((method) => document.findRoute(method, path))),
    services: services.map(({ id }) => document.findService(id)),
    dataCentres: dataCentres.map(({ id }) => document.dataCentreState(id)),
    domains: [document.domainKind, document.domains]
  }))
}

describe('control document', () => {
  // Guards against documents that differ between nodes, depending on whether a node started before or after a change.
  it('is equal after a chain of deltas and when built from scratch, and converts back to the declaration', () => {
    const chain = fc.array(declarationArbitrary(), { minLength: 2, maxLength: 6 })
    fc.assert(fc.property(chain, (declarations) => {
      let document = makeCompiled(declarations[0]!)
      for (const [index, after] of declarations.entries()) {
        if (index === 0) continue
        const delta = diffDeclarations(declarations[index - 1]!, after)
        document = applyDelta(document, { delta, revision: toId(index + 1) })
        const rebuilt = makeCompiled(after, index + 1)
        expect(lookUpAll(document, declarations)).toEqual(lookUpAll(rebuilt, declarations))
        expect(documentToDeclaration(document)).toEqual(after)
      }
    }), makePropertyOptions({ runs: 60 }))
  })

  // Guards against collisions in the key table that give a caller the access of another team.
  it('never finds a team for an unknown key, nor the wrong team for a known key', () => {
    const hex = fc.string({ unit: fc.constantFrom(...'0123456789abcdef'), maxLength: 64 })
    fc.assert(fc.property(declarationArbitrary(), fc.array(hex), fc.nat(31), (declaration, unknownHashes, digit) => {
      const document = makeCompiled(declaration)
      const owners = new Map<string, string>(declaration.keys.map(({ hash, team }) => [hash.slice(7), team]))
      const similarHashes = [...owners.keys()].map((hash) => `${hash.slice(0, digit)}f${hash.slice(digit + 1)}`)
      for (const hash of [...unknownHashes, ...similarHashes, ...owners.keys()]) {
        expect(document.findTeamByKey(toId(hash))).toBe(owners.get(hash.slice(0, 32)))
        expect(document.findTeamByKey(toId(`${hash.slice(0, 31)}z`))).toBeUndefined()
      }
    }), makePropertyOptions({ runs: 60 }))
  })

  // Guards against entries that are lost when the tables grow or when slots are freed.
  it('grows from empty to thousands of entries by deltas, and shrinks again', () => {
    const teams = Array.from({ length: 3_000 }, (_, index) => makeTeam({ id: toId(`team-${index}`), burst: index + 1 }))
    const keys = teams.map(({ id }, index) => ({ hash: makeDeclaredHash(`key-${index}`), team: id }))
    const full = makeDeclaration({ teams, keys, routes: [] })
    let document = makeCompiled(emptyDeclaration())
    document = applyDelta(document, { delta: diffDeclarations(emptyDeclaration(), full), revision: toId(2) })
    expect(isEmptyDelta(diffDeclarations(documentToDeclaration(document), full))).toBe(true)
    const bare = makeDeclaration({ teams: [], keys: [], routes: [] })
    document = applyDelta(document, { delta: diffDeclarations(full, bare), revision: toId(3) })
    expect(documentToDeclaration(document)).toEqual(bare)
  })

  // Guards against references to entries that do not exist, and against partially applied deltas.
  it('rejects a delta that leaves dangling references, and remains unchanged', () => {
    const before = makeDeclaration()
    const document = makeCompiled(before, 5)
    const cases: Array<Partial<Declaration>> = [
      { teams: [] }, { services: [] }, { dataCentres: [] },
      { keys: [{ hash: makeDeclaredHash('other'), team: toId('nobody') }] },
      { routes: [...before.routes, { ...before.routes[0]!, id: toId('same') }] }
    ]
    for (const options of cases) {
      const delta = diffDeclarations(before, { ...before, ...options })
      expect(() => applyDelta(document, { delta, revision: toId(6) })).toThrow(DeltaError)
    }
    const delta = diffDeclarations(before, before)
    expect(() => applyDelta(document, { delta, revision: toId(5) })).toThrow(DeltaError)
    expect(documentToDeclaration(document)).toEqual(before)
  })

  // Guards against a comparison of entries by their text, in which both forms of access would be equal.
  it('distinguishes the access "open" from a list of one team named "open"', () => {
    const team = { id: toId<never>('open'), ratePerSecond: 1, burst: 1 }
    const routes = [makeRouteDeclaration({ access: [team.id] })]
    const before = makeDeclaration({ teams: [team], keys: [], routes })
    const after = { ...before, routes: [{ ...before.routes[0]!, access: 'open' as const }] }
    expect(diffDeclarations(before, after).changed.routes).toEqual(after.routes)
  })
})
