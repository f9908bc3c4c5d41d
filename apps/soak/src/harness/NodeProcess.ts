import type { NodeId } from '@lavenderturn/types'
import { type ChildProcess, spawn } from 'node:child_process'
import { createWriteStream, type WriteStream, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Module that is loaded before the program of the node and shifts its wall clock on request. */
const CLOCK_SHIM = fileURLToPath(new URL('./clockShim.mjs', import.meta.url))

/** @public */
export interface NodeProcessOptions {
  readonly node: NodeId
  readonly command: readonly string[]
  /** Environment variable with the path of the settings file. */
  readonly settingsVariable: string
  readonly settings: Record<string, unknown>
  /** Folder for the settings file and the log. */
  readonly folder: string
  readonly onExit: (code: number | null, signal: string | null) => void
}

/** Process of one node, including its restarts. Signals are sent only to this process, by its id. @public */
export class NodeProcess {
  private readonly path: string
  private readonly log: WriteStream
  private child: ChildProcess | undefined
  private reloads = 0

  constructor (private readonly options: NodeProcessOptions) {
    this.path = join(options.folder, `${options.node}.json`)
    this.log = createWriteStream(join(options.folder, `${options.node}.log`))
    this.writeSettings()
  }

  /** Starts the process, unless it is running. */
  start (): void {
    // A killed process may not have exited yet; `onExit` reports its exit, and the node is restarted then.
    if (this.child !== undefined) return
    const { command: [program, ...args], settingsVariable, onExit } = this.options
    const child = spawn(program!, ['--import', CLOCK_SHIM, ...args], {
      env: { ...process.env, [settingsVariable]: this.path }, stdio: ['ignore', 'pipe', 'pipe', 'ipc']
    })
    child.stdout!.pipe(this.log, { end: false })
    child.stderr!.pipe(this.log, { end: false })
    child.once('exit', (code, signal) => {
      this.child = undefined
      onExit(code, signal)
    })
    // A failed spawn is reported as an exit without code and signal.
    child.once('error', () => {
      this.child = undefined
      onExit(null, null)
    })
    this.child = child
  }

  /** @param signal - signal to send; ignored while no process is running */
  signal (signal: NodeJS.Signals): void {
    this.child?.kill(signal)
  }

  /** Writes a changed settings file and sends SIGHUP. */
  reload (): void {
    this.reloads += 1
    this.writeSettings()
    this.child?.kill('SIGHUP')
  }

  /** @param offsetMs - offset of the wall clock */
  setClock (offsetMs: number): void {
    if (this.child?.connected === true) this.child.send({ offsetMs })
  }

  /** Kills the process and closes the log. */
  close (): void {
    this.child?.kill('SIGKILL')
    this.log.end()
  }

  private writeSettings (): void {
    const { settings } = this.options
    const bounds = { ...settings.bounds as Record<string, unknown> }
    // `retrySlack` is changed because no check depends on it.
    bounds.retrySlack = Number(bounds.retrySlack) + this.reloads
    writeFileSync(this.path, JSON.stringify({ ...settings, bounds }))
  }
}
