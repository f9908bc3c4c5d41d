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

/** Reads everything that the decisions can read, for the entries of all given declarations. */
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

describe('a control document', () => {
  it('shows the same after a chain of deltas as when it is built anew, and gives the declaration back', () => {
    const chain = fc.array(declarationArbitrary(), { minLength: 2, maxLength: 6 })
    fc.assert(fc.property(chain, (declarations) => {
      let document = makeCompiled(declarations[0]!)
      for (const [at, after] of declarations.entries()) {
        if (at === 0) continue
        const delta = diffDeclarations(declarations[at - 1]!, after)
        document = applyDelta(document, { delta, revision: toId(at + 1) })
        const fresh = makeCompiled(after, at + 1)
        expect(lookUpAll(document, declarations)).toEqual(lookUpAll(fresh, declarations))
        expect(documentToDeclaration(document)).toEqual(after)
      }
    }), makePropertyOptions({ runs: 60 }))
  })

  it('never takes a key for one of another team', () => {
    const hex = fc.string({ unit: fc.constantFrom(...'0123456789abcdef'), maxLength: 64 })
    fc.assert(fc.property(declarationArbitrary(), fc.array(hex), fc.nat(31), (declaration, strangers, digit) => {
      const document = makeCompiled(declaration)
      const owners = new Map<string, string>(declaration.keys.map(({ hash, team }) => [hash.slice(7), team]))
      const near = [...owners.keys()].map((hash) => `${hash.slice(0, digit)}f${hash.slice(digit + 1)}`)
      for (const hash of [...strangers, ...near, ...owners.keys()]) {
        expect(document.findTeamByKey(toId(hash))).toBe(owners.get(hash.slice(0, 32)))
        expect(document.findTeamByKey(toId(`${hash.slice(0, 31)}z`))).toBeUndefined()
      }
    }), makePropertyOptions({ runs: 60 }))
  })

  it('grows from empty to thousands of entries by deltas, and shrinks to nothing', () => {
    const teams = Array.from({ length: 3_000 }, (_, at) => makeTeam({ id: toId(`team-${at}`), burst: at + 1 }))
    const keys = teams.map(({ id }, at) => ({ hash: makeDeclaredHash(`key-${at}`), team: id }))
    const full = makeDeclaration({ teams, keys, routes: [] })
    let document = makeCompiled(emptyDeclaration())
    document = applyDelta(document, { delta: diffDeclarations(emptyDeclaration(), full), revision: toId(2) })
    expect(isEmptyDelta(diffDeclarations(documentToDeclaration(document), full))).toBe(true)
    const bare = makeDeclaration({ teams: [], keys: [], routes: [] })
    document = applyDelta(document, { delta: diffDeclarations(full, bare), revision: toId(3) })
    expect(documentToDeclaration(document)).toEqual(bare)
  })

  it('refuses a delta that leaves loose ends, and stays as it was', () => {
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

  it('tells the access "open" from a list of one team named "open"', () => {
    const team = { id: toId<never>('open'), ratePerSecond: 1, burst: 1 }
    const routes = [makeRouteDeclaration({ access: [team.id] })]
    const before = makeDeclaration({ teams: [team], keys: [], routes })
    const after = { ...before, routes: [{ ...before.routes[0]!, access: 'open' as const }] }
    expect(diffDeclarations(before, after).changed.routes).toEqual(after.routes)
  })
})
