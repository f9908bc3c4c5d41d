import { resultCodes } from '@lavenderturn/types'
import { parse, runSafely } from 'cmd-ts'
import { stripVTControlCharacters } from 'node:util'
import { version } from '../package.json'
import { BadSettingError } from './BadSettingError'
import { CallError } from './client/ControlClient'
import { type CommandResult, createCommands } from './createCommands'
import { type ExitCode, exitCodes } from './exitCodes'
import { formatOutput } from './Output'
import type { CtlDependencies } from './CtlDependencies'
import { nameSetting, type Setting, settings } from './settings'

/** Arguments that print information instead of running a command. */
const INFORMATION_FLAGS = new Set(['--help', '-h', '--version', '-v'])

/**
 * Parses the arguments and runs the command.
 *
 * @param args - arguments after the name of the program
 * @param dependencies - I/O, time and randomness
 * @returns the exit code
 * @public
 */
export async function runCtl (args: readonly string[], dependencies: CtlDependencies): Promise<ExitCode> {
  try {
    return await runCommand(args, dependencies)
  } catch (err) {
    if (err instanceof BadSettingError) return reportBadSetting(dependencies, err.message)
    if (!(err instanceof CallError)) throw err
    dependencies.writeError(`lavenderturn-ctl: ${err.message}\n`)
    return exitCodes.failed
  }
}

async function runCommand (args: readonly string[], dependencies: CtlDependencies): Promise<ExitCode> {
  const commands = createCommands(dependencies, version)
  const isInformational = args.length === 0 || args.some((arg) => INFORMATION_FLAGS.has(arg))
  if (!isInformational) {
    checkLastArgument(args)
    const parsed = await parse(commands, [...args])
    if (parsed._tag === 'error') throw new BadSettingError(describeErrors(parsed.error.errors))
  }
  const result = await runSafely(commands, [...args])
  if (result._tag === 'error') {
    dependencies.writeOut(`${result.error.config.message}\n`)
    return exitCodes.done
  }
  const { output, json } = unwrap(result.value)
  const write = output.exitCode === exitCodes.badSetting ? dependencies.writeError : dependencies.writeOut
  write(formatOutput(output, { json }))
  return output.exitCode
}

/** Rejects a last option without a value: the parser treats it as absent and would ignore a trailing `--base`. */
function checkLastArgument (args: readonly string[]): void {
  const last = args.at(-1)
  const found = Object.values(settings).find((setting: Setting) => {
    return setting.value !== undefined && `--${setting.flag}` === last
  })
  if (found !== undefined) throw new BadSettingError(`${nameSetting(found)} needs a value`)
}

interface ParseError {
  readonly message: string
  readonly nodes: ReadonlyArray<{ readonly raw: string }>
}

function describeErrors (errors: readonly ParseError[]): string {
  return errors.map(({ message, nodes }) => {
    const text = stripVTControlCharacters(message).replaceAll('\n', ' ')
    const missing = Object.values(settings).find(({ flag }) => text === `No value provided for --${flag}`)
    if (missing !== undefined) return `${nameSetting(missing)} is missing`
    return /--|env\[/.test(text) || nodes.length === 0 ? text : `${text}: ${nodes.map(({ raw }) => raw).join(' ')}`
  }).join('; ')
}

function reportBadSetting (dependencies: CtlDependencies, message: string): ExitCode {
  dependencies.writeError(`lavenderturn-ctl: ${resultCodes.badSetting.code} bad setting: ${message}\n`)
  return exitCodes.badSetting
}

/** Returns the innermost result; subcommands of `key` are nested one level deeper. */
function unwrap (result: { readonly value: unknown }): CommandResult {
  let { value } = result
  while (!('output' in (value as object))) value = (value as { value: unknown }).value
  return value as CommandResult
}
