import { declarationArbitrary, makeDeclaration, makePropertyOptions, makeRouteDeclaration } from '@lavenderturn/fixtures'
import { type TeamId, toId } from '@lavenderturn/types'
import fc from 'fast-check'
import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { stringify } from 'yaml'
import type { Declaration } from './Declaration'
import { declarationJsonSchema } from './declarationJsonSchema'
import { formatProblem } from './DeclarationProblem'
import { parseDeclaration } from './parseDeclaration'

function parseText (text: string): string[] {
  const result = parseDeclaration([{ name: 'shop.yaml', text }])
  return result.ok ? [] : result.problems.map(formatProblem)
}

function parseValue (options: Partial<Declaration>): string[] {
  return parseText(stringify(makeDeclaration(options)))
}

describe('parseDeclaration', () => {
  it('parses declarations in YAML and in JSON', () => {
    fc.assert(fc.property(declarationArbitrary(), (declaration) => {
      for (const text of [stringify(declaration), JSON.stringify(declaration)]) {
        expect(parseDeclaration([{ name: 'file', text }])).toEqual({ ok: true, declaration })
      }
    }), makePropertyOptions({ runs: 60 }))
  })

  // Guards against a truncated file that removes all entries that it lacks.
  it('never accepts a part of a declaration: truncated JSON, or a missing section', () => {
    fc.assert(fc.property(declarationArbitrary(), fc.nat(), (declaration, cut) => {
      const text = JSON.stringify(declaration)
      expect(parseText(text.slice(0, cut % text.length))).not.toEqual([])
      const sections = Object.entries(declaration)
      sections.splice(cut % sections.length, 1)
      expect(parseText(JSON.stringify(Object.fromEntries(sections)))).not.toEqual([])
    }), makePropertyOptions({ runs: 60 }))
  })

  // Guards against one of two definitions of a section silently replacing the other.
  it('merges sections from several files, and rejects a section that is defined in two of them', () => {
    const { keys, ...rest } = makeDeclaration()
    const files = [{ name: 'a.yaml', text: stringify(rest) }, { name: 'b.json', text: JSON.stringify({ keys }) }]
    expect(parseDeclaration(files).ok).toBe(true)
    expect(parseDeclaration([...files, { name: 'c.yaml', text: 'keys: []' }])).toEqual({
      ok: false,
      problems: [{ file: 'c.yaml', line: 1, column: 1, path: 'keys', message: 'the section is already defined in b.json' }]
    })
  })

  // Guards against errors that operators cannot find in their files.
  it('reports file, line, column, field and error', () => {
    const text = stringify(makeDeclaration())
    expect(parseText(text.replace('burst: 100', 'burst: 0.5'))).toEqual([
      'shop.yaml:4:12: teams[0].burst: must be at least 1'
    ])
    expect(parseText(text.replace('floor: 0.5', 'flor: 0.5'))).toEqual([
      'shop.yaml:17:5: services[0].floor: the field is missing',
      'shop.yaml:18:5: services[0].flor: unknown field'
    ])
    expect(parseText(`${text}teams: []\n`)).toEqual(['shop.yaml:23:1: Map keys must be unique'])
    expect(parseText('')).toEqual(['shop.yaml:1:1: the file must contain the sections of a declaration'])
  })

  // Guards against accepting a declaration that is inconsistent or contains a key in plain text.
  it.each<[string, Partial<Declaration>, string]>([
    ['an unknown team of a key', { teams: [] }, 'keys[0].team: unknown team "fes"'],
    ['an unknown service', { services: [] }, 'routes[0].service: unknown service "stock"'],
    ['an unknown team of a route', { routes: [makeRouteDeclaration({ access: [toId<TeamId>('x')] })] },
      'routes[0].access[0]: unknown team "x"'],
    ['a duplicate', { services: [{ id: toId('stock'), floor: 0 }, { id: toId('stock'), floor: 0 }] },
      'services[1].id: "stock" is already used by services[0]'],
    ['a hash used twice', { keys: [...makeDeclaration().keys, ...makeDeclaration().keys] },
      'is already used by keys[0]'],
    ['identical routes', { routes: [makeRouteDeclaration(), makeRouteDeclaration({ id: toId('other'), pathPrefix: '/st%6fck/' })] },
      'routes[1].pathPrefix: the route "stock" already matches any method /stock'],
    ['no data centre', { dataCentres: [] }, 'dataCentres: at least one data centre is needed'],
    ['a floor over 1', { services: [{ id: toId('stock'), floor: 1.01 }] }, 'floor: must be at most 1'],
    ['a rate of 0', { teams: [{ id: toId('fes'), ratePerSecond: 0, burst: 1 }] }, 'ratePerSecond: must be above 0'],
    ['a key instead of its hash', { keys: [{ hash: toId('secret'), team: toId('fes') }] },
      'keys[0].hash: must be "sha256:" and the hash'],
    ['a dot segment', { routes: [makeRouteDeclaration({ pathPrefix: '/stock/%2e%2e/x' })] },
      'routes[0].pathPrefix: must be a path']
  ])('rejects %s', (_, options, message) => {
    const problems = parseValue(options)
    expect(problems).toHaveLength(1)
    expect(problems[0]).toContain(message)
  })

  // Guards against an outdated schema file. `npx tsx packages/declaration/bench/writeSchema.ts` updates it.
  it('matches the committed JSON schema', () => {
    const path = new URL('../../../schema/declaration.schema.json', import.meta.url)
    expect(JSON.parse(readFileSync(path, 'utf8'))).toEqual(JSON.parse(JSON.stringify(declarationJsonSchema())))
  })
})
