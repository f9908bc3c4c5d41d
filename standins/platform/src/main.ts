import { command, number, option, run } from 'cmd-ts'
import { startPlatformStandin } from './startPlatformStandin'

await run(command({
  name: 'standin-platform',
  description: 'Stand-in of the table service (DynamoDB JSON protocol) and the object store (S3 REST)',
  args: {
    port: option({ type: number, long: 'port', defaultValue: () => 0, description: 'port of both services' }),
    adminPort: option({ type: number, long: 'admin-port', defaultValue: () => 0, description: 'port for commands' })
  },
  handler: async (options) => {
    const standin = await startPlatformStandin(options)
    // Written directly because the logger is silent in test runs, and the parent process waits for this line.
    process.stdout.write(`${JSON.stringify({ endpoint: standin.endpoint, admin: standin.adminEndpoint })}\n`)
    const stop = (): void => { void standin.close() }
    process.once('SIGTERM', stop)
    process.once('SIGINT', stop)
  }
}), process.argv.slice(2))
