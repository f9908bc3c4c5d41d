import { millis, toId } from '@lavenderturn/types'
import { command, positional, restPositionals, subcommands, string } from 'cmd-ts'
import type { ControlClient } from './client/ControlClient'
import { apply } from './commands/apply'
import { diff } from './commands/diff'
import { get } from './commands/get'
import { createKey, hashInput } from './commands/key'
import { rolloutStatus } from './commands/rolloutStatus'
import { status } from './commands/status'
import { validate } from './commands/validate'
import { createOption, createSwitch, jsonSwitch } from './createFlags'
import { type Output } from './Output'
import type { CtlDependencies } from './CtlDependencies'
import { BadSettingError } from './BadSettingError'
import { nameSetting, settings } from './settings'

/** @internal */
export interface CommandResult {
  readonly output: Output
  readonly json: boolean
}

const files = restPositionals({ type: string, displayName: 'FILES', description: 'Files or folders of one declaration' })

const nodeOptions = { node: createOption(settings.node), timeout: createOption(settings.timeout), json: jsonSwitch }

/**
 * @param dependencies - I/O, time and randomness
 * @param version - version of the program
 * @returns the commands; each handler returns a `CommandResult`
 * @internal
 */
export function createCommands (dependencies: CtlDependencies, version: string) {
  return subcommands({
    name: 'lavenderturn-ctl',
    version,
    description: 'Checks, compares and applies declarations, and shows the state of the fleet',
    cmds: {
      validate: createValidate(),
      diff: createDiff(dependencies),
      apply: createApply(dependencies),
      get: createQueryCommand(dependencies, { name: 'get', description: 'Print the declaration in force', run: get }),
      status: createQueryCommand(dependencies, { name: 'status', description: 'Print members, endpoints and team usage', run: status }),
      rollout: createRolloutCommands(dependencies),
      key: createKeyCommands(dependencies)
    }
  })
}

function createValidate () {
  return command({
    name: 'validate',
    description: 'Check a declaration without a node',
    args: { files, json: jsonSwitch },
    handler: async ({ files, json }): Promise<CommandResult> => ({ output: await validate(requireFiles(files)), json })
  })
}

function createDiff (dependencies: CtlDependencies) {
  return command({
    name: 'diff',
    description: 'Print what would change from a node, or from other files, to a declaration',
    args: {
      files,
      against: createOption(settings.against),
      ...nodeOptions,
      node: createOption({ ...settings.node, required: false })
    },
    handler: async ({ files, against, node, timeout, json }): Promise<CommandResult> => {
      // LAVENDERTURN_NODE may be set permanently, so `--against` takes precedence over it.
      if (node === undefined && against === undefined) {
        throw new BadSettingError(`either ${nameSetting(settings.node)} or ${nameSetting(settings.against)} is needed`)
      }
      const other = against?.split(',') ?? createClient(dependencies, { node, timeout })
      return { output: await diff({ files: requireFiles(files), against: other }), json }
    }
  })
}

function createApply (dependencies: CtlDependencies) {
  return command({
    name: 'apply',
    description: 'Have a declaration accepted and wait until it is in force',
    args: {
      files,
      base: createOption(settings.base),
      dryRun: createSwitch(settings.dryRun),
      wait: createOption(settings.wait),
      ...nodeOptions
    },
    handler: async ({ files, base, dryRun, wait, node, timeout, json }): Promise<CommandResult> => {
      const options = {
        files: requireFiles(files),
        client: createClient(dependencies, { node, timeout }),
        base: base === undefined ? undefined : toId<never>(Number(base)),
        dryRun,
        wait: millis(Number(wait))
      }
      return { output: await apply(options, dependencies), json }
    }
  })
}

interface QueryCommand {
  readonly name: string
  readonly description: string
  readonly run: (client: ControlClient) => Promise<Output>
}

function createQueryCommand (dependencies: CtlDependencies, { name, description, run }: QueryCommand) {
  return command({
    name,
    description,
    args: nodeOptions,
    handler: async ({ node, timeout, json }): Promise<CommandResult> => {
      return { output: await run(createClient(dependencies, { node, timeout })), json }
    }
  })
}

function createRolloutCommands (dependencies: CtlDependencies) {
  return subcommands({
    name: 'rollout',
    description: 'Show the roll-out of a version',
    cmds: {
      status: command({
        name: 'status',
        description: 'Print the step of a roll-out, its evidence and the reason; --node is a metrics port of the mesh',
        args: {
          service: positional({ type: string, displayName: 'SERVICE', description: 'Service whose version is rolled out' }),
          ...nodeOptions
        },
        handler: async ({ service, node, timeout, json }): Promise<CommandResult> => {
          return { output: await rolloutStatus(createClient(dependencies, { node, timeout }), service), json }
        }
      })
    }
  })
}

function createKeyCommands ({ randomBytes, readInput }: CtlDependencies) {
  return subcommands({
    name: 'key',
    description: 'Make and hash keys of callers',
    cmds: {
      new: command({
        name: 'new',
        description: 'Make a random key; print the key and its hash',
        args: { json: jsonSwitch },
        handler: async ({ json }): Promise<CommandResult> => ({ output: createKey(randomBytes), json })
      }),
      hash: command({
        name: 'hash',
        description: 'Print the hash of the key on standard input',
        args: { json: jsonSwitch },
        handler: async ({ json }): Promise<CommandResult> => ({ output: hashInput(await readInput()), json })
      })
    }
  })
}

function requireFiles (files: readonly string[]): readonly string[] {
  if (files.length === 0) throw new BadSettingError('FILES is missing: name the files or folders of a declaration')
  return files
}

function createClient (
  dependencies: CtlDependencies,
  { node, timeout }: { readonly node: string | undefined, readonly timeout: string | undefined }
): ControlClient {
  return dependencies.createClient({ address: toId(node!), timeout: millis(Number(timeout)) })
}
