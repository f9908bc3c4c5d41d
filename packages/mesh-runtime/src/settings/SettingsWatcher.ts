import type { ConsolaInstance } from 'consola'
import { readFile } from 'node:fs/promises'
import { type MeshSettings, readMeshSettings } from './readMeshSettings'

/** Polling interval; the file may change without a signal to the process. */
const CHECK_INTERVAL_MS = 2_000

/** @public */
export interface SettingsWatcherOptions {
  readonly path: string
  /** The content currently in force. */
  readonly content: string
  readonly log: ConsolaInstance
  /** Called with the settings each time the file has changed and is valid. */
  readonly onChange: (settings: MeshSettings) => void
}

/** Reloads the settings file when it changes. A file with an error is logged and not applied. @public */
export class SettingsWatcher {
  private content: string
  private readonly timer: NodeJS.Timeout

  constructor (private readonly options: SettingsWatcherOptions) {
    this.content = options.content
    this.timer = setInterval(() => { void this.check() }, CHECK_INTERVAL_MS)
    this.timer.unref()
  }

  /** Checks the file immediately. */
  async check (): Promise<void> {
    const { path, log, onChange } = this.options
    try {
      const content = await readFile(path, 'utf8')
      if (content === this.content) return
      this.content = content
      onChange(readMeshSettings(content))
      log.info('settings file read again')
    } catch (err) {
      log.warn('settings file not applied', { error: err instanceof Error ? err.message : String(err) })
    }
  }

  /** Stops watching. */
  stop (): void {
    clearInterval(this.timer)
  }
}
