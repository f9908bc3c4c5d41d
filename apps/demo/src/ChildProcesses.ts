import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'

/** Time limit for a graceful stop, after which the child is killed. */
const STOP_TIMEOUT_MS = 30_000

/** @public */
export interface ChildProcessesOptions {
  readonly onStopping: (name: string) => void
  readonly onExit: (name: string, code: number | null) => void
}

/** Child processes of the demo. Signals are sent only to these, each by its process id. @public */
export class ChildProcesses {
  private readonly running = new Map<string, ChildProcess>()
  private readonly killAll = (): void => { for (const child of this.running.values()) child.kill('SIGKILL') }

  constructor (private readonly options: ChildProcessesOptions) {
    // Kills remaining children if the demo itself crashes.
    process.on('exit', this.killAll)
  }

  /** Process ids of the running children. */
  get pids (): number[] {
    return [...this.running.values()].map(({ pid }) => pid!)
  }

  /**
   * Starts a child.
   *
   * @param name - its name in the demo
   * @param command - program and arguments
   * @returns the first line of its standard output, or undefined if it exits without printing one
   */
  async start (name: string, [program, ...args]: readonly string[]): Promise<string | undefined> {
    const child = spawn(program!, args, { stdio: ['ignore', 'pipe', 'inherit'] })
    this.running.set(name, child)
    child.once('exit', (code) => {
      this.running.delete(name)
      this.options.onExit(name, code)
    })
    return await new Promise((resolve) => {
      let text = ''
      child.stdout.on('data', (data: Buffer) => {
        text += data.toString()
        if (text.includes('\n')) resolve(text.split('\n', 1)[0])
      })
      child.once('spawn', () => { if (!this.running.has(name)) resolve(undefined) })
      child.once('exit', () => { resolve(undefined) })
      child.once('error', () => { resolve(undefined) })
    })
  }

  /**
   * Starts a child and waits until it exits.
   *
   * @param name - its name in the demo
   * @param command - program and arguments
   * @returns its exit code, or null if a signal terminated it
   */
  async run (name: string, [program, ...args]: readonly string[]): Promise<number | null> {
    const child = spawn(program!, args, { stdio: ['ignore', 'inherit', 'inherit'] })
    this.running.set(name, child)
    const [code] = await once(child, 'exit') as [number | null]
    this.running.delete(name)
    return code
  }

  /**
   * Stops a child gracefully and waits until it has exited.
   *
   * @param name - its name in the demo
   */
  async stop (name: string): Promise<void> {
    const child = this.running.get(name)
    if (child === undefined) return
    this.options.onStopping(name)
    const exited = once(child, 'exit')
    child.kill('SIGTERM')
    const timer = setTimeout(() => { child.kill('SIGKILL') }, STOP_TIMEOUT_MS)
    await exited
    clearTimeout(timer)
  }

  /**
   * Stops several children concurrently.
   *
   * @param match - selects children by name; all by default
   */
  async stopAll (match: (name: string) => boolean = () => true): Promise<void> {
    await Promise.all([...this.running.keys()].filter(match).map(async (name) => { await this.stop(name) }))
  }

  /** Removes the handler that kills children at the exit of the demo. */
  dispose (): void {
    process.off('exit', this.killAll)
  }
}
