import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { createLogger } from './createLogger'
import { nodeSettings } from './nodeSettings'
import { parseSettings } from './parseSettings'
import { renderSettings } from './renderSettings'
import { timelineSettings } from './timelineSettings'

const LOCATION_ARGUMENTS = ['--data-centre', 'dc-1', '--region=r-1']

async function parse (argv: readonly string[], env: Record<string, string> = {}) {
  return await parseSettings({
    program: 'lavenderturn-node', description: 'a node', version: '9.9.9', table: nodeSettings, argv, env
  })
}

describe('settings', () => {
  it('take a flag over its environment variable, and the variable over the default', async () => {
    const parsed = await parse([...LOCATION_ARGUMENTS, '--seed', '7'], {
      LAVENDERTURN_SEED: '8', LAVENDERTURN_LOG_FORMAT: 'json', LAVENDERTURN_LOAD_RATE: '1', OTHER: 'x'
    })
    expect(parsed).toMatchObject({
      values: { seed: 7, logFormat: 'json', region: 'r-1', peers: [], adminAddress: '127.0.0.1:8083', nodeId: undefined }
    })
  })

  it.each([
    [['--nope', '1'], {}, '--nope: there is no such setting'],
    [['stray'], {}, 'stray: there is no such setting'],
    [['--seed'], {}, '--seed: it needs a value'],
    [['--seed', '--region'], {}, '--seed: it needs a value'],
    [['--seed', '1', '--seed=2'], {}, '--seed: it is given twice'],
    [['--log-format', 'xml'], {}, '--log-format (LAVENDERTURN_LOG_FORMAT): expected one of text, json, got "xml"'],
    [['--admin-address', '0.0.0.0:1'], {}, '--admin-address (LAVENDERTURN_ADMIN_ADDRESS): expected host:port with a'],
    [['--forward-address', 'a:0'], {}, '--forward-address (LAVENDERTURN_FORWARD_ADDRESS): expected host:port with a'],
    [['--caller-address', 'a:70000'], {}, '--caller-address (LAVENDERTURN_CALLER_ADDRESS): expected host:port'],
    [[], { LAVENDERTURN_LOGFORMAT: 'json' }, 'LAVENDERTURN_LOGFORMAT: there is no such setting'],
    [[], { LAVENDERTURN_PEERS: 'a' }, '--peers (LAVENDERTURN_PEERS): expected host:port, separated by commas, got "a"']
  ])('report an invalid one in one line: %j %j', async (argv, env, message) => {
    const failure = parse([...LOCATION_ARGUMENTS, ...argv], env as unknown as Record<string, string>)
    await expect(failure).rejects.toThrow(`3400 bad setting ${message}`)
    await expect(failure).rejects.not.toThrow(/\n/)
  })

  it('report a missing one', async () => {
    await expect(parse([])).rejects.toThrow('--data-centre (LAVENDERTURN_DATA_CENTRE): it is required')
  })

  it('are listed by --help, and --version prints the version', async () => {
    const help = await parse(['--help'])
    for (const { flag, env } of Object.values(nodeSettings)) {
      expect(help).toMatchObject({ kind: 'text', text: expect.stringContaining(`--${flag}`) })
      expect(help).toMatchObject({ text: expect.stringContaining(env) })
    }
    expect(help).toMatchObject({ text: expect.stringMatching(/--region .*\[required\]$/m) })
    expect(await parse(['--version'])).toEqual({ kind: 'text', text: '9.9.9' })
  })

  it('are listed in docs/configuration.md without differences', () => {
    const page = readFileSync(new URL('../../../../docs/configuration.md', import.meta.url), 'utf8')
    expect(page).toContain(renderSettings(nodeSettings))
    expect(page).toContain(renderSettings(timelineSettings))
  })

  it('write log lines as JSON on request', () => {
    const lines: string[] = []
    const log = createLogger({ format: 'json', fields: { node: 'n' }, write: (line) => { lines.push(line) } })
    log.info('control document in force', { revision: 3 })
    log.debug('not written')
    expect(lines.map((line) => JSON.parse(line))).toMatchObject([
      { level: 'info', message: 'control document in force', node: 'n', revision: 3 }
    ])
  })
})
