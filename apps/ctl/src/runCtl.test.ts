import { makeDeclaration, makeRouteDeclaration, makeTeam } from '@lavenderturn/fixtures'
import { toId } from '@lavenderturn/types'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { stripVTControlCharacters } from 'node:util'
import { afterAll, afterEach, describe, expect, it, vi } from 'vitest'
import { stringify } from 'yaml'
import type { RolloutStatus } from './client/ControlClient'
import { type Fault, FakeControlClient } from './fixtures/FakeControlClient'
import { makeFleetStatus, makeMemberStatus } from './fixtures/makeFleetStatus'
import { makeDependencies } from './fixtures/makeDependencies'
import { exitCodes } from './exitCodes'
import { runCtl } from './runCtl'
import { type Setting, settings } from './settings'

const folder = mkdtempSync(join(tmpdir(), 'lavenderturn-ctl-'))
const examples = fileURLToPath(new URL('../../../examples/', import.meta.url))

function writeFile (name: string, text: string): string {
  const path = join(folder, name)
  writeFileSync(path, text)
  return path
}

const VALID = writeFile('valid.yaml', stringify(makeDeclaration()))
const CHANGED = writeFile('changed.yaml', stringify(makeDeclaration({
  teams: [makeTeam({ burst: 300 }), makeTeam({ id: toId('scouts') })],
  routes: [makeRouteDeclaration({ id: toId('tents'), access: [toId<never>('fes'), toId<never>('scouts')] })]
})))
const INVALID = writeFile('invalid.yaml', stringify(makeDeclaration({ services: [{ id: toId('stock'), floor: 2 }] })))

function makeClient (faults: readonly Fault[] = [], members = [makeMemberStatus()]): FakeControlClient {
  return new FakeControlClient({ declaration: makeDeclaration(), status: makeFleetStatus({ members }), faults })
}

function makeRolloutClient (): FakeControlClient {
  const rollout: RolloutStatus = {
    service: toId('stock'),
    to: 'v2',
    phase: 'canary',
    elapsedMs: 6_200,
    durationMs: 14_000,
    withdrawn: false,
    excluded: ['v1-rc'],
    record: { conductor: 'node-b', reason: 'ordered', processes: 5, requests: 37 },
    evidence: 'undecided: /search/: 1 of 22 bad at 5 servers, against 3 of 140'
  }
  return new FakeControlClient({ declaration: makeDeclaration(), rollouts: [rollout] })
}

interface Run { readonly text: string, readonly code: number }

async function run (args: readonly string[], options: Parameters<typeof makeDependencies>[0] = {}): Promise<Run> {
  const dependencies = makeDependencies(options)
  const code = await runCtl(args, dependencies)
  const text = `exit ${code}\n${dependencies.errors.join('')}${dependencies.out.join('')}`
  return { text: stripVTControlCharacters(text).replaceAll(folder, 'FOLDER'), code }
}

const NODE = ['--node', '127.0.0.1:7404']
const lagging = [makeMemberStatus(), makeMemberStatus({ node: toId('node-b'), revision: toId(7) })]

describe('lavenderturn-ctl', () => {
  afterAll(() => rmSync(folder, { recursive: true }))
  afterEach(() => { vi.unstubAllEnvs() })

  it.each<[string, readonly string[], Parameters<typeof makeDependencies>[0]?]>([
    ['help', ['--help']],
    ['apply-help', ['apply', '--help']],
    ['validate', ['validate', VALID]],
    ['validate-invalid', ['validate', INVALID, join(folder, 'missing.yaml')]],
    ['validate-invalid-json', ['validate', INVALID, '--json']],
    ['diff-files', ['diff', CHANGED, '--against', VALID]],
    ['diff-node-json', ['diff', CHANGED, ...NODE, '--json'], { client: makeClient() }],
    ['apply', ['apply', CHANGED, ...NODE, '--base', '7'], { client: makeClient() }],
    ['apply-json', ['apply', CHANGED, ...NODE, '--json'], { client: makeClient() }],
    ['apply-dry-run', ['apply', CHANGED, ...NODE, '--dry-run'], { client: makeClient() }],
    ['apply-nothing', ['apply', VALID, ...NODE], { client: makeClient() }],
    ['apply-stale', ['apply', CHANGED, ...NODE, '--base', '6'], { client: makeClient() }],
    ['apply-unknown', ['apply', CHANGED, ...NODE], { client: makeClient(['none', 'requestLost']) }],
    ['apply-unreachable', ['apply', CHANGED, ...NODE], { client: makeClient(['none', 'notSent']) }],
    ['apply-pending', ['apply', CHANGED, ...NODE], { client: makeClient([], lagging) }],
    ['get', ['get', ...NODE], { client: makeClient() }],
    ['status', ['status', ...NODE], { client: makeClient() }],
    ['status-unreachable', ['status', ...NODE], { client: makeClient(['notSent']) }],
    ['rollout-status', ['rollout', 'status', 'stock', ...NODE], { client: makeRolloutClient() }],
    ['rollout-status-json', ['rollout', 'status', 'stock', ...NODE, '--json'], { client: makeRolloutClient() }],
    ['rollout-status-none', ['rollout', 'status', 'media', ...NODE], { client: makeRolloutClient() }],
    ['key-new', ['key', 'new']],
    ['key-hash', ['key', 'hash'], { input: 'a-key\n' }],
    ['key-hash-json', ['key', 'hash', '--json'], { input: 'a-key' }]
  ])('prints %s as in the golden file', async (name, args, options) => {
    await expect((await run(args, options)).text).toMatchFileSnapshot(`__golden__/${name}.txt`)
  })

  it.each<[string, readonly string[], string]>([
    ['a missing node', ['get'], '--node (LAVENDERTURN_NODE) is missing'],
    ['a malformed node', ['get', '--node', 'x'], '--node (LAVENDERTURN_NODE) must be HOST:PORT, not "x"'],
    ['a base that is no number', ['apply', VALID, ...NODE, '--base', '1x'], '--base (LAVENDERTURN_BASE) must be'],
    ['a base without a value', ['apply', VALID, ...NODE, '--base'], '--base (LAVENDERTURN_BASE) needs a value'],
    ['no files', ['validate'], 'FILES is missing'],
    ['an unknown flag', ['get', ...NODE, '--jsn'], 'Unknown arguments: --jsn'],
    ['an unknown command', ['gte'], 'Not a valid subcommand name'],
    ['neither side of a diff', ['diff', VALID], 'either --node (LAVENDERTURN_NODE) or --against'],
    ['a key with white space', ['key', 'hash'], 'standard input must hold one key']
  ])('prints a one-line error and exits with code 2 for %s', async (_, args, message) => {
    const { text, code } = await run(args)
    expect(code).toBe(exitCodes.badSetting)
    expect(text).toContain(message)
    expect(text.trimEnd().split('\n')).toHaveLength(2)
  })

  it('reads settings from the environment and names the invalid ones', async () => {
    vi.stubEnv('LAVENDERTURN_NODE', '127.0.0.1:7404')
    vi.stubEnv('LAVENDERTURN_JSON', 'true')
    expect((await run(['get'], { client: makeClient() })).text).toContain('"revision": 7')
    vi.stubEnv('LAVENDERTURN_JSON', 'yes')
    const { text, code } = await run(['get'], { client: makeClient() })
    expect([code, text]).toEqual([exitCodes.badSetting, expect.stringContaining('LAVENDERTURN_JSON')])
  })

  it('prints a declaration that can be applied again without changes', async () => {
    const { text } = await run(['get', ...NODE], { client: makeClient() })
    const path = writeFile('got.yaml', text.replace('exit 0\n', ''))
    expect((await run(['diff', path, '--against', VALID])).text).toBe('exit 0\nnothing changes\n')
  })

  it.each(['atlas.yaml', 'kelaniya.yaml'])('validates the example %s', async (name) => {
    const { text } = await run(['validate', join(examples, name)])
    expect(text).toMatch(/^exit 0\n.*3 data centres, 3 services, \d routes, 8 teams/)
  })

  it('matches the settings and exit codes in docs/configuration-ctl.md', () => {
    const page = readFileSync(new URL('../../../docs/configuration-ctl.md', import.meta.url), 'utf8')
    const rows = Object.values(settings).map((setting: Setting) => {
      const value = setting.value === undefined ? '' : ` ${setting.value.name}`
      const standard = setting.required === true ? 'required' : setting.default ?? '–'
      return `| \`--${setting.flag}${value}\` | \`${setting.environment}\` | ${standard} | ${setting.commands.join(', ')} | ${setting.description} |`
    })
    expect(page.split('\n').filter((line) => line.startsWith('| `--'))).toEqual(rows)
    const codes = page.split('\n').filter((line) => /^\| \d /.test(line)).map((line) => Number(line.split('|')[1]))
    expect(codes).toEqual(Object.values(exitCodes))
  })
})
